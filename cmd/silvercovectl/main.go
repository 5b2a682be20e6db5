// Command silvercovectl is the control program. It checks operators' files, manages keys and TUF repositories, runs the
// metadata proxy and the processes of a fleet, and runs simulations and measurements. On the command line, the metadata
// proxy has the name front. Only this program uses large dependencies, so that the binary of the relay stays small.
package main

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/rs/zerolog"

	"silvercove/internal/operatorconfig"
)

// commandLine holds all sub-commands.
type commandLine struct {
	Check        checkCmd        `cmd:"" help:"Check an operator's file."`
	Reference    referenceCmd    `cmd:"" help:"Print the reference page of the operator's file."`
	Keys         keysCmd         `cmd:"" help:"Generate, list, rotate and revoke signing keys."`
	Tuf          tufCmd          `cmd:"" help:"Manage a TUF repository."`
	Uptane       uptaneCmd       `cmd:"" help:"Inspect what a Director assigns to servers, and send reports to it."`
	Metadata     metadataCmd     `cmd:"" help:"Run the metadata front, or print its counters."`
	VersionStore versionStoreCmd `cmd:"" aliases:"floor" help:"Inspect a store of metadata versions, or set its time back."`
	Verdict      verdictCmd      `cmd:"" help:"Explain a relay's votes, and plan how long evidence takes."`
	Standin      standinCmd      `cmd:"" help:"Stand-ins for mirrors and servers, for trials."`
	Fleet        fleetCmd        `cmd:"" help:"Run and manage the processes of a fleet."`
	Lab          labCmd          `cmd:"" help:"Simulations, and measurements against stand-ins."`
}

func main() {
	var c commandLine
	parser := kong.Must(&c, kong.Name("silvercovectl"), kong.UsageOnError(),
		kong.Description("Control program of silvercove. Pass phrases come from the file that COVE_PASSPHRASE_FILE names, "+
			"or from COVE_PASSPHRASE."))
	ctx, err := parser.Parse(os.Args[1:])
	parser.FatalIfErrorf(err)
	if earlier, now := earlierName(os.Args[1:]); earlier != "" {
		log := logger("info")
		log.Warn().Str("component", "silvercovectl").Str("earlier", earlier).Str("now", now).Msg("sub-command has a new name")
	}
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "silvercovectl:", err)
		os.Exit(1)
	}
}

// checkCmd is the sub-command that checks an operator's file.
type checkCmd struct {
	File string `arg:"" help:"The operator's file."`
}

// Run checks the file and prints which of the two blocks, metadata and verdicts, the file has.
func (c *checkCmd) Run() error {
	all, err := operatorconfig.OperatorTable.Read(c.File)
	if err != nil {
		return err
	}
	enabled := "nothing is switched on"
	if blocks := slices.DeleteFunc([]string{"metadata", "verdicts"}, func(b string) bool { return all[b] == nil }); len(blocks) > 0 {
		enabled = "switched on: " + strings.Join(blocks, ", ")
	}
	fmt.Printf("%s: in order; %s\n", c.File, enabled)
	return nil
}

// referenceCmd is the sub-command that prints the reference page.
type referenceCmd struct{}

// Run prints the reference page of the operator's file.
func (c *referenceCmd) Run() error {
	_, err := fmt.Print(operatorconfig.OperatorTable.Reference())
	return err
}

// logger returns a logger that writes structured lines to standard error. level is the name of a zerolog level; an
// unknown name stands for info.
func logger(level string) zerolog.Logger {
	l, err := zerolog.ParseLevel(level)
	if err != nil {
		l = zerolog.InfoLevel
	}
	return zerolog.New(os.Stderr).Level(l).With().Timestamp().Logger()
}

// withDiskFull returns err, wrapped in an explanation if the cause is a full disk.
func withDiskFull(err error) error {
	if errors.Is(err, syscall.ENOSPC) {
		return fmt.Errorf("the disk is full, and nothing was changed: %w", err)
	}
	return err
}

// earlierNames maps the earlier names of sub-commands to their present names. The earlier names still work.
var earlierNames = map[string]string{
	"fleet edge":   "fleet node",
	"fleet keeper": "fleet controller",
	"floor":        "version-store",
}

// earlierName looks for an earlier name of a sub-command at the start of a command line. It returns that name and the
// present name of the sub-command, or two empty strings if it finds none.
func earlierName(args []string) (earlier, present string) {
	for words := 1; words <= min(2, len(args)); words++ {
		earlier = strings.Join(args[:words], " ")
		if now, ok := earlierNames[earlier]; ok {
			return earlier, now
		}
	}
	return "", ""
}
