package cli

import "strings"

// helpText holds the help of one command.
type helpText struct {
	// short is one line for the list of commands.
	short string
	// description is the text below the usage line.
	description string
	// examples are command lines.
	examples []string
}

// long returns the description and the examples.
func (h helpText) long() string {
	var parts []string
	if h.description != "" {
		parts = append(parts, h.description)
	}
	if len(h.examples) > 0 {
		parts = append(parts, "Examples:\n  "+strings.Join(h.examples, "\n  "))
	}
	return strings.Join(parts, "\n\n")
}

var (
	helpRoot = helpText{
		short: "Operates the overload control layer.",
		description: `Operators edit one tree of settings, which every daemon applies within seconds.
Results go to stdout, messages to stderr.

Exit status:
  0  done
  1  failed; the message says whether anything was changed
  2  invalid command line, or a document with findings
  3  another operator's edit was accepted first; nothing was changed`,
		examples: []string{
			"fuchsiavane demo",
			"fuchsiavane settings check site.json",
			"fuchsiavane settings apply -platform http://10.0.0.5:7499 -wait site.json",
			"fuchsiavane status -daemon http://10.0.1.7:7403",
		},
	}
	helpDemo = helpText{
		short:       "Runs a small complete system and prints the results of each rank.",
		description: "Everything runs in this process on loopback, for about ten seconds.",
	}
	helpVersion  = helpText{short: "Prints the version."}
	helpSettings = helpText{
		short: "Checks, changes and shows the settings tree.",
		description: `The tree is one JSON document with the levels root, service, call path and
rank; each level sets only what differs. FILE is a document, or - for standard
input.`,
		examples: []string{
			"fuchsiavane settings show > site.json",
			"fuchsiavane settings diff site.json",
			"fuchsiavane settings apply -wait site.json",
		},
	}
	helpCheck = helpText{
		short:       "Reports every finding in a document, with JSON pointer and line.",
		description: "A document with a finding is never accepted. Needs neither store nor daemon.",
		examples:    []string{"fuchsiavane settings check site.json", "fuchsiavane settings check -json - < site.json"},
	}
	helpDiff = helpText{
		short: "Lists the settings in which a document differs from those in force.",
		description: `The comparison is by setting: layout and the order of keys are ignored. With
-revision the document is compared with that revision; with two files, no store
is needed.`,
		examples: []string{
			"fuchsiavane settings diff site.json",
			"fuchsiavane settings diff -revision 41 site.json",
			"fuchsiavane settings diff old.json new.json",
		},
	}
	helpApply = helpText{
		short: "Makes a document the settings in force.",
		description: `If another operator's edit is accepted first, nothing is changed, and the command
shows what they changed and exits with 3. -base names the revision that the edit
is based on; without it, the edit is based on the revision found at the start. A
lost response to a write that took effect is recognised as success.

Given a daemon, the new revision is above the newest that it knows to be in force,
also after the store lost edits. With -wait the command returns when the live
daemons have the revision in force, and names those that don't have it in time.`,
		examples: []string{
			"fuchsiavane settings apply site.json",
			"fuchsiavane settings apply -base 41 -wait -daemon http://10.0.1.7:7403 site.json",
			"fuchsiavane settings show -revision 40 | fuchsiavane settings apply -",
		},
	}
	helpShow = helpText{
		short:    "Prints the document in force, or an earlier revision of it.",
		examples: []string{"fuchsiavane settings show", "fuchsiavane settings show -revision 40"},
	}
	helpHistory = helpText{
		short:       "Lists the latest accepted edits, newest first.",
		description: "\"settings show -revision N\" prints the document of each.",
		examples:    []string{"fuchsiavane settings history -limit 10"},
	}
	helpEffective = helpText{
		short: "Shows each setting of a call, and the level that sets it.",
		description: `Reads the document in force, or FILE if it is given. Parts of the document in
force that this version doesn't know are left out, as by daemons, and noted on
standard error.`,
		examples: []string{
			"fuchsiavane settings effective -service registry -method POST -path /rulings",
			"fuchsiavane settings effective -service registry -rank bulk site.json",
		},
	}
	helpStatus = helpText{
		short: "Shows a daemon and the peers that it knows.",
		description: `The column SETTINGS is the revision that a peer last reported in force, - if it
is unknown. A large fleet is counted by data centre, state and settings; -all
lists every peer.`,
		examples: []string{
			"fuchsiavane status -daemon http://10.0.1.7:7403",
			"fuchsiavane status -watch",
		},
	}
	helpDrain = helpText{
		short: "Begins the drain of an instance's daemon.",
		description: `The daemon announces the drain to its peers, refuses new work as not-run, finishes
the running requests and exits. INSTANCE is the daemon given by -daemon or one of
its peers.`,
		examples: []string{"fuchsiavane drain -daemon http://10.0.1.7:7403 registry-2"},
	}
)
