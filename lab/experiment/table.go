package experiment

import (
	"fmt"
	"io"
	"strings"
)

// Report runs every scenario in every mode and writes one Markdown table per
// scenario. The report names command as the command line that produced it.
func Report(out io.Writer, seed uint64, command string) error {
	_, err := fmt.Fprintf(out, reportHeader, command, seed, deepest().capacity())
	if err != nil {
		return err
	}
	for _, s := range Scenarios() {
		if err := reportScenario(out, seed, s); err != nil {
			return err
		}
	}
	return nil
}

// reportHeader is the format of the head of the report, whose text pages quote.
const reportHeader = `# Policy under load

Written by ` + "`%s`" + ` (seed %d, virtual time). Four services in a chain; the deepest takes %.0f requests/s.
The ordinary demand is 70%% of that. Goodput and kept are fractions of the deepest service's capacity
during the trigger; served is the fraction of a rank's requests in that time that succeeded; wasted is the fraction of upstream
work, from the start of the trigger to the end of the run, spent on sends that failed; recovery is the time from the
end of the trigger until the success ratio stays at 95%% or more of its value before the trigger.
Ranks: ruling (guaranteed share 0.2, protected), lookup (0.4), bulk (0.1). A resend by a caller counts for its request.

Without fuchsiavane each hop retries a failed call once, waits a second for a response, and nothing is cancelled; the static
limit has a queue of four times the limit. With fuchsiavane the deadline is propagated, ended requests are cancelled, and retries
are bounded by a ratio of 0.1 and a budget of 2. The bound on callers' own resends (429) is not simulated.

`

func reportScenario(out io.Writer, seed uint64, s Scenario) error {
	var b strings.Builder
	fmt.Fprintf(&b, "## %s, for %v\n\n", s.Name, s.TriggerTime)
	b.WriteString("| control | goodput | served ruling | lookup | bulk | kept ruling | lookup | bulk | wasted | recovery |\n")
	b.WriteString("|---|---|---|---|---|---|---|---|---|---|\n")
	for _, m := range Modes() {
		r := Run(seed, s, m)
		fmt.Fprintf(&b, "| %s | %.3f |", m, r.Goodput)
		for rank := range ranks {
			fmt.Fprintf(&b, " %.1f%% |", 100*r.Served[rank])
		}
		for rank := range ranks {
			fmt.Fprintf(&b, " %.3f |", r.RankGoodput[rank])
		}
		fmt.Fprintf(&b, " %.1f%% | %s |\n", 100*r.Wasted, recoveryText(r))
	}
	b.WriteString("\n")
	_, err := io.WriteString(out, b.String())
	return err
}

func recoveryText(r Result) string {
	if !r.Recovered {
		return "none in the run"
	}
	return fmt.Sprintf("%.1f s", r.RecoveryTime.Seconds())
}
