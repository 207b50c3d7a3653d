package event

import (
	"slices"

	plog "github.com/phuslu/log"
)

// Events of the daemon. Numbers are grouped by hundreds: 1 daemon life,
// 2 settings, 3 links, 4 membership, 5 requests, 6 platform.
var (
	DaemonStarted          = Event{101, "daemon-started", plog.InfoLevel, "The daemon's ports are open."}
	DaemonLeaving          = Event{102, "daemon-leaving", plog.InfoLevel, "A planned stop began: new work is refused as not-run, running work is finished."}
	DaemonStopped          = Event{103, "daemon-stopped", plog.InfoLevel, "The daemon ended. The field cut gives the requests that the drain bound cut."}
	LinksLoopbackOnly      = Event{104, "links-loopback-only", plog.WarnLevel, "No link key is set: links are taken from loopback only. Set -link-key."}
	PortFailed             = Event{105, "port-failed", plog.ErrorLevel, "A port stopped serving. The daemon ends."}
	SettingsInForce        = Event{201, "settings-in-force", plog.InfoLevel, "A revision of the settings is in force."}
	SettingsRefused        = Event{202, "settings-refused", plog.ErrorLevel, "The store holds settings with findings; the last good revision stays in force. Apply a corrected document."}
	SettingsOlder          = Event{203, "settings-older", plog.ErrorLevel, "The store holds an older revision than the one in force, as after a restore from a backup. The newer stays in force; apply it again."}
	LinkOpened             = Event{301, "link-opened", plog.DebugLevel, "A link to a peer is open."}
	LinkClosed             = Event{302, "link-closed", plog.InfoLevel, "A link ended. The field reason says why."}
	LinkRefused            = Event{303, "link-refused", plog.WarnLevel, "A peer did not prove the link key, or came from outside loopback without one."}
	LinkMalformed          = Event{304, "link-malformed", plog.WarnLevel, "A frame could not be decoded or broke a rule of the protocol; the link was ended."}
	LinkNotOpened          = Event{305, "link-not-opened", plog.WarnLevel, "A link to a peer could not be opened. The pause before the next dial grows up to 2 s; failures gives the dials that failed in a row."}
	LinkRecovered          = Event{306, "link-recovered", plog.WarnLevel, "A link broke with requests in progress. asked gives those whose answers were asked for on a new link, lost those whose outcome stays unknown."}
	PeersChanged           = Event{401, "peers-changed", plog.InfoLevel, "The set of known peers changed."}
	MemberDead             = Event{402, "member-dead", plog.WarnLevel, "An instance of this data centre answered no probe and did not refute its suspicion. It crashed, is paused or is cut off."}
	MemberResumed          = Event{403, "member-resumed", plog.WarnLevel, "This daemon was paused for seconds, or its machine was overloaded. It judges nobody by the pause and joins anew."}
	InstanceDuplicate      = Event{404, "instance-duplicate", plog.ErrorLevel, "A process that started later holds this instance id. This daemon is not ready and takes no part in membership; give one of the two another id."}
	DataCentreUnreachable  = Event{405, "data-centre-unreachable", plog.ErrorLevel, "A data centre does not answer. Its instances are kept and used again when it answers."}
	DataCentreReachable    = Event{406, "data-centre-reachable", plog.InfoLevel, "A data centre answers again."}
	MemberRefused          = Event{407, "member-refused", plog.WarnLevel, "A membership message did not prove the link key, or came from outside loopback without one. Give all daemons the same -link-key. At most one line a minute."}
	RequestMalformed       = Event{501, "request-malformed", plog.InfoLevel, "A caller's request was refused before it was called: it was malformed, no route of the settings matches it, or no settings are in force. detail says which."}
	LibraryLine            = Event{108, "library-line", plog.WarnLevel, "A line that a library wrote, such as net/http's on bytes that an upstream sent after a whole answer; the connection was closed."}
	RequestAnswered        = Event{502, "request-answered", plog.InfoLevel, "An upstream's answer to a routed request began."}
	RequestFailed          = Event{503, "request-failed", plog.WarnLevel, "A routed request ended with an answer of the system's own. refusal, outcome and detail give the cause; settings is the revision it was decided by."}
	RequestRetried         = Event{504, "request-retried", plog.InfoLevel, "A routed request went to another peer. price says what it cost: free if no upstream had been sent it, else a retry of the budget."}
	RequestRefused         = Event{505, "request-held", plog.InfoLevel, "A request got no slot at the upstream and was refused. The fields give the load that decided: what ran and waited, the limit, the part that the level lets through, and the age of the root, by which slots go."}
	LevelChanged           = Event{506, "level-changed", plog.InfoLevel, "The part of a rank's requests that the upstream's level lets through changed by more than a tenth. The fields give the load that decided."}
	RetryDenied            = Event{514, "retry-denied", plog.InfoLevel, "A request was not sent once more: the service's retries of the window are used up. first_sends and retries are this daemon's in the window, allowed its part of the fleet's."}
	UpstreamChanged        = Event{512, "upstream-news", plog.InfoLevel, "What the upstream beside this daemon said of itself changed: its instance, phase or slots."}
	HeartbeatIgnored       = Event{513, "upstream-news-refused", plog.WarnLevel, "A heartbeat was malformed, older than what is known, or of another instance; it changed nothing."}
	ProcessSettingsChanged = Event{106, "process-settings-changed", plog.InfoLevel, "The file of process settings changed. The fields name what changed; it holds from the next start unless the line says otherwise."}
	LogLinesLost           = Event{107, "log-lines-lost", plog.WarnLevel, "Log lines were written faster than they could be taken. count gives those that were dropped since the last such line; refusals and failures are dropped last."}
	UpstreamCrashed        = Event{510, "upstream-crashed", plog.WarnLevel, "The upstream died with requests in flight. Each of them runs alone from now on, until it has ended well."}
	RequestQuarantined     = Event{511, "request-quarantined", plog.ErrorLevel, "A request has crashed two upstreams and is refused with 422 for an hour. Find it by its fingerprint and mend the upstream."}
	PlatformUnreachable    = Event{601, "platform-away", plog.WarnLevel, "The platform's store does not answer. The daemon goes on with what it holds."}
	PlatformReachable      = Event{602, "platform-back", plog.InfoLevel, "The platform's store answers again."}
	ClaimsNotRefreshed     = Event{603, "claims-not-refreshed", plog.WarnLevel, "The claims on keys of non-idempotent requests could not be refreshed. The instance runs such requests until its claims end; see docs/operations/once.md."}
	ClaimsNotReleased      = Event{604, "claims-not-released", plog.WarnLevel, "A leaving instance could not give up its claims. The keys that it owned are refused until the claims end."}
)

// Catalogue lists every event by number.
func Catalogue() []Event {
	all := []Event{
		DaemonStarted, DaemonLeaving, DaemonStopped, LinksLoopbackOnly, PortFailed,
		SettingsInForce, SettingsRefused, SettingsOlder,
		LinkOpened, LinkClosed, LinkRefused, LinkMalformed, LinkNotOpened, LinkRecovered,
		PeersChanged, MemberDead, MemberResumed, InstanceDuplicate, DataCentreUnreachable, DataCentreReachable, MemberRefused,
		RequestAnswered, RequestFailed, RequestRetried, RetryDenied, RequestRefused, LevelChanged, UpstreamChanged, HeartbeatIgnored, ProcessSettingsChanged, LogLinesLost, LibraryLine,
		RequestMalformed, PlatformUnreachable, PlatformReachable,
		ClaimsNotRefreshed, ClaimsNotReleased, UpstreamCrashed, RequestQuarantined,
	}
	slices.SortFunc(all, func(a, b Event) int { return a.Number - b.Number })
	return all
}
