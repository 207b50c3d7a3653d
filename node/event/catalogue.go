package event

import (
	"slices"

	plog "github.com/phuslu/log"
)

// Events of the daemon. Numbers are grouped by hundreds: 1 daemon lifecycle,
// 2 settings, 3 links, 4 membership, 5 requests, 6 platform.
var (
	DaemonStarted           = Event{101, "daemon-started", plog.InfoLevel, "The daemon's ports are open."}
	DaemonLeaving           = Event{102, "daemon-leaving", plog.InfoLevel, "The daemon began to drain: new work is refused as not-run, running work is finished."}
	DaemonStopped           = Event{103, "daemon-stopped", plog.InfoLevel, "The daemon ended. The field cut gives the number of requests that were cut off at the drain timeout."}
	LinksLoopbackOnly       = Event{104, "links-loopback-only", plog.WarnLevel, "No link key is set: links are accepted from loopback only. Set -link-key."}
	PortFailed              = Event{105, "port-failed", plog.ErrorLevel, "A port stopped serving. The daemon ends."}
	ProcessSettingsIgnored  = Event{109, "process-settings-ignored", plog.ErrorLevel, "Fields of the process settings can't be read. The error lists them with their line and the value that applies instead. The daemon serves; correct the file."}
	SettingsInForce         = Event{201, "settings-in-force", plog.InfoLevel, "A revision of the settings is in force. source is store, or the address of the peer that sent it."}
	SettingsRefused         = Event{202, "settings-refused", plog.ErrorLevel, "The store holds invalid settings; the last valid revision stays in force. Apply a corrected document."}
	SettingsOlder           = Event{203, "settings-older", plog.ErrorLevel, "The store holds an older revision than the one in force, or another edit with the same revision, as after a restore from a backup. The settings in force do not change; apply them again."}
	SettingsPartlyApplied   = Event{204, "settings-partly-applied", plog.ErrorLevel, "Settings are in force without the parts that this version doesn't know or that break a rule. The error lists them by JSON pointer; count is their number. Everything else in the document applies. Update the daemon, or correct the document."}
	SettingsUnreadable      = Event{205, "settings-unreadable", plog.ErrorLevel, "The store responds, but the settings in it can't be decoded. revision is in force and stays so."}
	SettingsPullFailed      = Event{206, "settings-pull-failed", plog.WarnLevel, "A peer has a higher revision of the settings in force, and the pull from it failed. wanted is that revision, revision the one in force here, took_ms the time of the attempt."}
	SettingsReading         = Event{207, "settings-reading", plog.InfoLevel, "This daemon begins to read the settings from the store for its data centre, or ends it, as reading says."}
	ConfigurationPartlyRead = Event{605, "configuration-partly-read", plog.ErrorLevel, "The platform's configuration has values that this version doesn't know. Each line of the error names the route or service, the field, the value and the reading that applies instead; count is their number. The rest of the configuration is in force."}
	LinkOpened              = Event{301, "link-opened", plog.DebugLevel, "A link to a peer is open."}
	LinkClosed              = Event{302, "link-closed", plog.InfoLevel, "A link was closed. The field reason says why."}
	LinkRefused             = Event{303, "link-refused", plog.WarnLevel, "A peer did not prove the link key, or came from outside loopback without one."}
	LinkMalformed           = Event{304, "link-malformed", plog.WarnLevel, "A frame could not be decoded or violated the protocol; the link was closed."}
	LinkNotOpened           = Event{305, "link-not-opened", plog.WarnLevel, "A link to a peer could not be opened. The backoff before the next dial grows to at most 2 s; failures gives the number of consecutive failed dials."}
	LinkRecovered           = Event{306, "link-recovered", plog.WarnLevel, "A link broke with requests in progress. asked gives the number of requests whose answers were requested on a new link, lost the number of those whose outcome stays unknown."}
	LinkFrameUnknown        = Event{307, "link-frame-unknown", plog.WarnLevel, "A peer sent a frame of a type that this version doesn't know, as a newer daemon may. The frame was ignored and the link goes on. Logged once for each link."}
	PeersChanged            = Event{401, "peers-changed", plog.InfoLevel, "The set of known peers changed."}
	MemberDead              = Event{402, "member-dead", plog.WarnLevel, "An instance of this data centre answered no probe and did not refute the suspicion that it failed. It crashed, is paused or is unreachable."}
	MemberResumed           = Event{403, "member-resumed", plog.WarnLevel, "This daemon was paused for seconds, or its machine was overloaded. It suspects no peers because of the pause, and joins again."}
	InstanceDuplicate       = Event{404, "instance-duplicate", plog.ErrorLevel, "A process that started later uses this instance id. This daemon is not ready and no longer takes part in membership; give one of the two another id."}
	DataCentreUnreachable   = Event{405, "data-centre-unreachable", plog.ErrorLevel, "A data centre does not answer. Its instances stay known and are used again when it answers."}
	DataCentreReachable     = Event{406, "data-centre-reachable", plog.InfoLevel, "A data centre answers again."}
	MemberRefused           = Event{407, "member-refused", plog.WarnLevel, "A membership message did not prove the link key, or came from outside loopback without one. Give all daemons the same -link-key. Logged at most once a minute."}
	MemberUnknown           = Event{408, "member-unknown", plog.WarnLevel, "A membership message has a kind, or a record with a state or name, that this version doesn't know. The message, or only the record, was ignored. Logged at most once a minute."}
	RequestMalformed        = Event{501, "request-malformed", plog.InfoLevel, "A caller's request was refused before any upstream was called: it was malformed, no route of the settings matches it, or no settings are in force. detail says which."}
	LibraryLine             = Event{108, "library-line", plog.WarnLevel, "A log line of a library, for example of net/http when an upstream sent bytes after a complete response and its connection was closed."}
	RequestAnswered         = Event{502, "request-answered", plog.InfoLevel, "The response of an upstream to a routed request began."}
	RequestFailed           = Event{503, "request-failed", plog.WarnLevel, "A routed request ended with a response from the daemon instead of an upstream. refusal, outcome and detail give the cause; settings is the settings revision that applied."}
	RequestRetried          = Event{504, "request-retried", plog.InfoLevel, "A routed request was sent to another peer. price gives its cost: free if it had been sent to no upstream, else one retry of the retry budget."}
	RequestRefused          = Event{505, "request-held", plog.InfoLevel, "A request got no slot at the upstream and was refused. The fields give the load at the decision: the requests running and queued, the limit, the fraction that the admission level admits, and the age of the root request, by which slots are assigned."}
	LevelChanged            = Event{506, "level-changed", plog.InfoLevel, "The fraction of a rank's requests that the upstream's admission level admits changed by more than a tenth. The fields give the load at the decision."}
	RetryDenied             = Event{514, "retry-denied", plog.InfoLevel, "A request was not retried: the retry budget of its service is used up for this window. first_sends and retries are this daemon's counts in the window, allowed is its share of the fleet's retry budget."}
	RequestMisdirected      = Event{516, "request-misdirected", plog.WarnLevel, "A peer sent a request for another service than this daemon's, as when an address has gone to an instance of another service and the peer doesn't know yet. The request did not run; the peer tries another instance. wanted is the service that the request is for."}
	UpstreamChanged         = Event{512, "upstream-news", plog.InfoLevel, "The instance, phase or slots of this daemon's upstream changed."}
	UpstreamLimit           = Event{515, "upstream-limit", plog.InfoLevel, "The limit that this daemon's upstream names in its answers changed. per_second is the number of requests that it takes in a second from all callers together, 0 if it names no limit any more. Requests wait for it, or are refused, as for a slot."}
	HeartbeatIgnored        = Event{513, "upstream-news-refused", plog.WarnLevel, "A heartbeat was ignored: it was malformed, older than the last one accepted, or from another instance."}
	DeparturesRecalled      = Event{517, "departures-recalled", plog.InfoLevel, "An earlier process of this daemon has acknowledged that upstreams leave. count is their number, latest the last one. A late heartbeat does not bring them back."}
	ProcessSettingsChanged  = Event{106, "process-settings-changed", plog.InfoLevel, "The file of process settings changed. The fields name what changed; changes apply from the next start unless the line says otherwise."}
	LogLinesLost            = Event{107, "log-lines-lost", plog.WarnLevel, "Log lines were dropped because they were written faster than they could be read, or too often for their kind. count gives the number dropped since the last such line; warnings and errors are dropped last."}
	UpstreamCrashed         = Event{510, "upstream-crashed", plog.WarnLevel, "The upstream died with requests in flight. Each of them runs alone from now on, until one of its runs ends without a crash."}
	SuspicionsRecalled      = Event{518, "suspicions-recalled", plog.InfoLevel, "This daemon has just started, and a peer has told it which requests may crash upstreams. count is their number."}
	RequestQuarantined      = Event{511, "request-quarantined", plog.ErrorLevel, "A request has crashed two upstreams and is refused with 422 for an hour. Find it by its fingerprint and fix the upstream."}
	PlatformUnreachable     = Event{601, "platform-away", plog.WarnLevel, "The platform's store can't be read. cause is silent if calls end without a response, and refuses if the store turns them away. The daemon continues with the data that it has."}
	PlatformReachable       = Event{602, "platform-back", plog.InfoLevel, "The platform's store answers again."}
	StoreCallFailed         = Event{606, "store-call-failed", plog.WarnLevel, "A call that reads the settings from the platform's store failed. call is its kind, took_ms its time, and revision the settings in force."}
	DepartureNotStored      = Event{607, "departure-not-stored", plog.WarnLevel, "The departures of the upstream could not be read from the platform's store, if recalled is false, or written to it. The daemon goes on trying. Until they are read, an upstream is used from its second heartbeat on."}
	ClaimsNotRefreshed      = Event{603, "claims-not-refreshed", plog.WarnLevel, "The claims on keys of non-idempotent requests could not be refreshed. The instance runs such requests until its claims expire; see docs/operations/once.md."}
	ClaimsNotReleased       = Event{604, "claims-not-released", plog.WarnLevel, "A leaving instance could not release its claims. Requests with the keys that it owned are refused until the claims expire."}
)

// Catalogue returns all events, sorted by number.
func Catalogue() []Event {
	all := []Event{
		DaemonStarted, DaemonLeaving, DaemonStopped, LinksLoopbackOnly, PortFailed,
		SettingsInForce, SettingsRefused, SettingsOlder, SettingsPartlyApplied, SettingsUnreadable, SettingsPullFailed, SettingsReading, ConfigurationPartlyRead,
		LinkOpened, LinkClosed, LinkRefused, LinkMalformed, LinkNotOpened, LinkRecovered, LinkFrameUnknown,
		PeersChanged, MemberDead, MemberResumed, InstanceDuplicate, DataCentreUnreachable, DataCentreReachable, MemberRefused, MemberUnknown,
		RequestAnswered, RequestFailed, RequestRetried, RetryDenied, RequestRefused, RequestMisdirected, LevelChanged, UpstreamChanged, UpstreamLimit, HeartbeatIgnored, DeparturesRecalled, ProcessSettingsChanged, ProcessSettingsIgnored, LogLinesLost, LibraryLine,
		RequestMalformed, PlatformUnreachable, PlatformReachable, StoreCallFailed, DepartureNotStored,
		ClaimsNotRefreshed, ClaimsNotReleased, UpstreamCrashed, RequestQuarantined, SuspicionsRecalled,
	}
	slices.SortFunc(all, func(a, b Event) int { return a.Number - b.Number })
	return all
}
