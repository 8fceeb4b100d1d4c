package verbs

import (
	"cmp"
	"fmt"
	"io"
	"runtime/debug"
	"strings"

	"github.com/spf13/cobra"
)

// dashes tells readers of examples how they relate to the list of flags.
const dashes = "-flag and --flag are the same."

// writeOverview writes the help of the program.
func writeOverview(w io.Writer, root *cobra.Command) {
	fmt.Fprintf(w, "usage: %s VERB [FLAGS]\n\n", program)
	for _, name := range verbNames() {
		cmd, _, err := root.Find([]string{name})
		if err == nil {
			fmt.Fprintf(w, "  %-10s %s\n", name, cmd.Short)
		}
	}
	fmt.Fprintf(w, "\nFlags:\n%s\nExit codes:\n", root.LocalFlags().FlagUsages())
	writeExits(w, allExits)
	fmt.Fprintf(w, "\n%s VERB -h shows the flags of a verb and an example. %s\n", program, dashes)
}

// verbNames returns the names of all verbs in the order of the help.
func verbNames() []string {
	var out []string
	for _, v := range list {
		out = append(out, v.name)
	}
	return append(out, "completion", "help")
}

// writeHelp writes the help of the verb.
func (v verb) writeHelp(w io.Writer, cmd *cobra.Command) {
	fmt.Fprintf(w, "%s: %s\n\nUsage:\n  %s\n", cmd.CommandPath(), v.short, cmd.UseLine())
	fmt.Fprintf(w, "\nExample:\n  %s\n\nFlags:\n%s", v.example, cmd.LocalFlags().FlagUsages())
	fmt.Fprintf(w, "%s\n\nExit codes:\n", dashes)
	exits := v.exits
	if len(exits) == 0 {
		exits = commonExits
	}
	writeExits(w, exits)
}

func writeExits(w io.Writer, exits []exit) {
	for _, e := range exits {
		fmt.Fprintf(w, "  %d  %s\n", e.code, e.text)
	}
}

// versionText returns the version of the module and, if the build recorded it,
// the revision that it was built from.
func versionText(info *debug.BuildInfo) string {
	out := []string{cmp.Or(info.Main.Version, "unknown")}
	for _, s := range info.Settings {
		switch {
		case s.Key == "vcs.revision":
			out = append(out, "revision "+s.Value)
		case s.Key == "vcs.modified" && s.Value == "true":
			out = append(out, "with local changes")
		}
	}
	return strings.Join(append(out, info.GoVersion), ", ")
}
