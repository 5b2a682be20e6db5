// Command silvercovectl is the control program: it checks operators' files, keeps keys and repositories, runs the
// metadata front and its measurements. What is heavy stands here, so that the relay stays lean.
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

// commandLine are all sub-commands.
type commandLine struct {
	Check        checkCmd        `cmd:"" help:"Check an operator's file."`
	Reference    referenceCmd    `cmd:"" help:"Print the reference page of the operator's file."`
	Keys         keysCmd         `cmd:"" help:"Make and list signing keys."`
	Tuf          tufCmd          `cmd:"" help:"Keep a TUF repository."`
	Uptane       uptaneCmd       `cmd:"" help:"Look into what a Director tells servers."`
	Metadata     metadataCmd     `cmd:"" help:"Run or watch the metadata front."`
	VersionStore versionStoreCmd `cmd:"" aliases:"floor" help:"Look into a store of metadata versions, or set its time back."`
	Verdict      verdictCmd      `cmd:"" help:"Look into a relay's votes, and plan for evidence."`
	Standin      standinCmd      `cmd:"" help:"Stand-ins for trying things out."`
	Fleet        fleetCmd        `cmd:"" help:"Processes of a fleet that work together."`
	Lab          labCmd          `cmd:"" help:"Measurements against stand-ins."`
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

type checkCmd struct {
	File string `arg:"" help:"The operator's file."`
}

// Run checks a file.
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

type referenceCmd struct{}

// Run prints the page.
func (c *referenceCmd) Run() error {
	_, err := fmt.Print(operatorconfig.OperatorTable.Reference())
	return err
}

// logger writes structured lines to standard error, at a level of the operator's file.
func logger(level string) zerolog.Logger {
	l, err := zerolog.ParseLevel(level)
	if err != nil {
		l = zerolog.InfoLevel
	}
	return zerolog.New(os.Stderr).Level(l).With().Timestamp().Logger()
}

// withDiskFull tells a full disk from other errors, for a plain word about it.
func withDiskFull(err error) error {
	if errors.Is(err, syscall.ENOSPC) {
		return fmt.Errorf("the disk is full, and nothing was changed: %w", err)
	}
	return err
}

// earlierNames are the sub-commands that have another name now; they still work.
var earlierNames = map[string]string{
	"fleet edge":   "fleet node",
	"fleet keeper": "fleet controller",
	"floor":        "version-store",
}

// earlierName finds the earlier name of a sub-command that a command line begins with, and its name now; "" where it has none.
func earlierName(args []string) (earlier, now string) {
	for words := 1; words <= min(2, len(args)); words++ {
		earlier = strings.Join(args[:words], " ")
		if now, ok := earlierNames[earlier]; ok {
			return earlier, now
		}
	}
	return "", ""
}
