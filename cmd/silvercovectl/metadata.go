package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"silvercove/balancer"
	"silvercove/internal/keys"
	"silvercove/internal/metadataservice"
	"silvercove/internal/monotonic"
	"silvercove/internal/operatorconfig"
	"silvercove/internal/tufverify"
)

// metadataCmd holds the sub-commands of metadata.
type metadataCmd struct {
	Serve  serveCmd  `cmd:"" help:"Run the metadata front of an operator's file."`
	Status statusCmd `cmd:"" help:"Print the counters of a running front."`
}

// serveCmd is the sub-command that runs the metadata proxy.
type serveCmd struct {
	File string `arg:"" help:"The operator's file."`
}

// Run runs the metadata proxy until SIGTERM or SIGINT. SIGHUP reloads the operator's file.
func (c *serveCmd) Run() error {
	all, err := operatorconfig.OperatorTable.Read(c.File)
	if err != nil {
		return err
	}
	level, _ := all["log_level"].(string)
	log := logger(level)
	serviceLog := log.With().Str("component", "metadataservice").Logger()
	m, err := metadataservice.New(c.File, os.Getenv, time.Now, log)
	if err != nil {
		return withDiskFull(err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	ended := make(chan error, 1)
	go func() { ended <- m.Run(ctx) }()
	serviceLog.Info().Str("listen", m.Address()).Msg("metadata front serving")
	for {
		select {
		case err := <-ended:
			serviceLog.Info().Msg("metadata front stopped")
			return err
		case <-hup:
			if err := m.Reload(); err != nil {
				serviceLog.Error().Err(err).Msg("operator's file refused")
				continue
			}
			serviceLog.Info().Msg("operator's file reloaded")
		}
	}
}

// statusCmd is the sub-command that prints a metadata proxy's counters.
type statusCmd struct {
	Address string `arg:"" help:"HOST:PORT of the front."`
}

// Run prints the counters of a running metadata proxy.
func (c *statusCmd) Run() error { return printURL("http://" + c.Address + "/status") }

// printURL prints the body of a GET request. Any status but 200 is an error.
func printURL(url string) error {
	client := &http.Client{Timeout: 5 * time.Second}
	resp, err := client.Get(url)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, 4<<10))
		return fmt.Errorf("status %d: %s", resp.StatusCode, strings.TrimSpace(string(text)))
	}
	_, err = io.Copy(os.Stdout, resp.Body)
	return err
}

// tufVerifyCmd is the sub-command that runs the TUF client workflow.
type tufVerifyCmd struct {
	Root string `required:"" type:"existingfile" help:"The pinned root."`
	From string `arg:"" help:"A repository's folder, or http://HOST:PORT/r/NAME of a front."`
	Path string `help:"Also look this target up."`
}

// Run runs the TUF client workflow. It starts with an empty version store, so it does not detect that a version is
// older than one that an earlier run saw.
func (c *tufVerifyCmd) Run() error {
	pinned, err := os.ReadFile(c.Root)
	if err != nil {
		return err
	}
	get := func(f tufverify.File) ([]byte, error) {
		text, err := os.ReadFile(filepath.Join(c.From, "metadata", f.String()))
		if errors.Is(err, os.ErrNotExist) {
			return nil, nil
		}
		return text, err
	}
	if strings.HasPrefix(c.From, "http://") {
		get = metadataservice.Fetcher(c.From + "/metadata/")
	}
	fetch := func(f tufverify.File) ([]byte, error) {
		text, err := get(f)
		if text != nil {
			fmt.Printf("%s is there\n", f)
		}
		return text, err
	}
	now := tufverify.FromTime(time.Now())
	r, err := tufverify.New("repository", monotonic.NewMemoryStore(1<<16), now, pinned)
	if err != nil {
		return err
	}
	if err := r.Refresh(now, fetch); err != nil {
		return err
	}
	fmt.Printf("root %d, timestamp %d, snapshot %d and targets %d are in order; all of it lasts until %s\n", r.Version("root"),
		r.Version("timestamp"), r.Version("snapshot"), r.Version("targets"), r.Expires().Time().Format(time.RFC3339))
	if c.Path == "" {
		return nil
	}
	t, err := r.LookUp(now, c.Path, fetch)
	if err != nil {
		return err
	}
	fmt.Printf("%s: %d bytes, SHA-256 %x, build %d, vouched for by %s\n", t.Path, t.Length, t.Sum, t.Custom.Build, t.Role)
	return nil
}

// uptaneCmd holds the sub-commands of uptane.
type uptaneCmd struct {
	Assign   assignCmd   `cmd:"" help:"Print the packages that the Director of a front assigns to a server."`
	Manifest manifestCmd `cmd:"" help:"Sign a server's report, and print it or send it."`
	Explain  explainCmd  `cmd:"" help:"Explain why a server may run the package that it is assigned."`
}

// assignCmd is the sub-command that prints a server's assignment.
type assignCmd struct {
	Address string `arg:"" help:"HOST:PORT of the front."`
	Server  string `arg:"" help:"Name of the server."`
	Root    string `required:"" type:"existingfile" help:"The Director's pinned root."`
	Partial bool   `help:"Verify the Director's targets only, as a server with little memory does."`
}

// Run verifies the assignment of a server and prints it.
func (c *assignCmd) Run() error {
	pinned, err := os.ReadFile(c.Root)
	if err != nil {
		return err
	}
	fetchAssignment := metadataservice.Assignment
	if c.Partial {
		fetchAssignment = metadataservice.PartialAssignment
	}
	all, err := fetchAssignment("http://"+c.Address, c.Server, pinned, time.Now())
	if err != nil {
		return err
	}
	if len(all) == 0 {
		fmt.Printf("%s is told no package\n", c.Server)
	}
	for _, t := range all {
		fmt.Printf("%s is told %s, build %d: %d bytes, SHA-256 %x\n", c.Server, t.Path, t.Custom.Build, t.Length, t.Sum)
	}
	return nil
}

// manifestCmd is the sub-command that signs a server's report.
type manifestCmd struct {
	Key       string `required:"" help:"Key file of the server."`
	Server    string `arg:"" help:"Name of the server."`
	Hardware  string `required:"" help:"Its kind of hardware."`
	Counter   int64  `required:"" help:"Counter of the report, above that of every earlier one."`
	Running   string `help:"Path of the package that the server runs."`
	Build     uint16 `help:"Build number of that package."`
	Installed string `enum:",ok,failed,declined" default:"" help:"Result of the last installation."`
	Tried     string `help:"Path of the package that was to be installed."`
	Send      string `help:"HOST:PORT of a front to send it to."`
}

// Run signs a report, and prints it or sends it to a metadata proxy.
func (c *manifestCmd) Run() error {
	k, err := keys.Load(c.Key, keys.PassphraseFrom(os.Getenv))
	if err != nil {
		return err
	}
	text, err := tufverify.SignReport(tufverify.Report{Server: c.Server, Hardware: c.Hardware, Counter: c.Counter, At: time.Now(),
		RunningTarget: c.Running, Build: c.Build, InstallResult: c.Installed, AttemptedTarget: c.Tried}, k.Private)
	if err != nil {
		return err
	}
	if c.Send == "" {
		fmt.Println(string(text))
		return nil
	}
	client := &http.Client{Timeout: 10 * time.Second}
	resp, err := client.Post("http://"+c.Send+"/director/"+c.Server+"/manifest", "application/json",
		strings.NewReader(string(text)))
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	answer, _ := io.ReadAll(io.LimitReader(resp.Body, 4<<10))
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d: %s", resp.StatusCode, strings.TrimSpace(string(answer)))
	}
	fmt.Println(strings.TrimSpace(string(answer)))
	return nil
}

// explainCmd is the sub-command that explains an assignment.
type explainCmd struct {
	Address string `arg:"" help:"HOST:PORT of the front."`
	Server  string `arg:"" help:"Name of the server."`
}

// Run prints the reasons that a metadata proxy gives for the assignment of a server.
func (c *explainCmd) Run() error {
	if _, _, err := net.SplitHostPort(c.Address); err != nil {
		return err
	}
	return printURL("http://" + c.Address + "/explain/" + c.Server)
}

// versionStoreCmd holds the sub-commands of version-store.
type versionStoreCmd struct {
	Show  versionStoreShowCmd  `cmd:"" help:"List the entries of a version store, which must not be in use."`
	Clock versionStoreClockCmd `cmd:"" help:"Set the version store's trusted time back to now, after the clock was far ahead."`
}

// logToStderr writes a log line to standard error, as text for a terminal.
func logToStderr(_ slog.Level, message string, fields ...slog.Attr) {
	fmt.Fprintln(os.Stderr, balancer.LogLine(message, fields...))
}

// versionStoreShowCmd is the sub-command that lists a version store.
type versionStoreShowCmd struct {
	Paths []string `arg:"" type:"existingfile" help:"The version store's copies."`
}

// Run prints the trusted time and the entries of a version store.
func (c *versionStoreShowCmd) Run() error {
	f, err := monotonic.Open(c.Paths, 1<<30, logToStderr)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	fmt.Printf("time %s\n", f.TrustedTime().Time().Format(time.RFC3339))
	for _, e := range f.Entries() {
		fmt.Printf("%s %d %x\n", e.Key, e.Version, e.Sum[:8])
	}
	return nil
}

// versionStoreClockCmd is the sub-command that sets a version store's trusted time back.
type versionStoreClockCmd struct {
	Paths []string `arg:"" type:"existingfile" help:"The version store's copies."`
	Yes   bool     `help:"Confirm: metadata that had expired by the later time count as valid again until they expire."`
}

// Run sets the trusted time of a version store back to the current time. It changes nothing if the trusted time is not
// later than the current time. It refuses to run without --yes.
func (c *versionStoreClockCmd) Run() error {
	if !c.Yes {
		return errors.New("this makes metadata that have expired by the trusted time of the version store valid again: give --yes if the clock " +
			"was wrong and is right now")
	}
	f, err := monotonic.Open(c.Paths, 1<<30, logToStderr)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	trusted, now := f.TrustedTime(), tufverify.FromTime(time.Now())
	if trusted <= now {
		fmt.Printf("the trusted time %s of the version store is not ahead: nothing was changed\n", trusted.Time().Format(time.RFC3339))
		return nil
	}
	if err := f.ResetTime(now); err != nil {
		return withDiskFull(err)
	}
	fmt.Printf("set back from %s to %s\n", trusted.Time().Format(time.RFC3339), now.Time().Format(time.RFC3339))
	return nil
}
