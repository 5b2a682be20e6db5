package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"silvercove/internal/keys"
	"silvercove/internal/standin/repository"
)

// standinCmd holds the sub-commands of standin.
type standinCmd struct {
	Mirror standinMirrorCmd `cmd:"" help:"Serve a repository's folder as a mirror, on loopback."`
	Server standinServerCmd `cmd:"" help:"Run a stand-in for a server: update from a front, install and report."`
}

// standinMirrorCmd is the sub-command that runs a mirror.
type standinMirrorCmd struct {
	Repo    string `arg:"" type:"existingdir" help:"The repository."`
	Address string `arg:"" help:"Loopback HOST:PORT."`
}

// requireLoopback returns an error for an address that is not a loopback IP address with a port.
func requireLoopback(address string) error {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return err
	}
	if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
		return fmt.Errorf("%s: stand-ins run on loopback addresses only", address)
	}
	return nil
}

// Run serves the folders metadata and targets of a repository until SIGTERM or SIGINT.
func (c *standinMirrorCmd) Run() error {
	if err := requireLoopback(c.Address); err != nil {
		return err
	}
	files := http.NewServeMux()
	for _, sub := range []string{"metadata", "targets"} {
		files.Handle("/"+sub+"/", http.StripPrefix("/"+sub+"/", http.FileServer(http.Dir(filepath.Join(c.Repo, sub)))))
	}
	server := &http.Server{Addr: c.Address, Handler: files, ReadHeaderTimeout: 5 * time.Second}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	context.AfterFunc(ctx, func() { _ = server.Close() })
	if err := server.ListenAndServe(); err != http.ErrServerClosed {
		return err
	}
	return nil
}

// standinServerCmd is the sub-command that runs a stand-in for a server.
type standinServerCmd struct {
	Name         string        `arg:"" help:"Name of the server."`
	Kind         string        `arg:"" help:"Its kind of hardware."`
	Front        string        `required:"" help:"Loopback HOST:PORT of the front."`
	Image        string        `required:"" help:"Name of the image repository there."`
	ImageRoot    string        `required:"" type:"existingfile" help:"Its pinned root."`
	DirectorRoot string        `required:"" type:"existingfile" help:"The Director's pinned root."`
	Key          string        `required:"" help:"Key file of the server."`
	Until        uint16        `help:"End once the server runs this build."`
	For          time.Duration `default:"30s" help:"End after this time; that is an error."`
	Poll         time.Duration `default:"200ms" help:"Pause between two rounds of updating."`
}

// Run updates the server until it runs the build c.Until. If the server does not run that build within c.For, Run
// returns an error. If c.Until is 0, Run always returns an error after c.For.
func (c *standinServerCmd) Run() error {
	if err := requireLoopback(c.Front); err != nil {
		return err
	}
	s := &repository.Server{Name: c.Name, Hardware: c.Kind, Front: "http://" + c.Front, Image: c.Image, Now: time.Now,
		ImageHTTP: http.DefaultTransport, DirectorHTTP: http.DefaultTransport}
	for path, into := range map[string]*[]byte{c.ImageRoot: &s.ImageRoot, c.DirectorRoot: &s.DirectorRoot} {
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		*into = text
	}
	var err error
	if s.Key, err = keys.Load(c.Key, keys.PassphraseFrom(os.Getenv)); err != nil {
		return err
	}
	s.SetCounter(time.Now().UnixMilli()) // each report needs a higher counter than the reports of earlier runs
	for end := time.Now().Add(c.For); ; time.Sleep(c.Poll) {
		previousBuild := s.Build
		err := s.Step()
		if s.Build != previousBuild {
			fmt.Printf("%s runs build %d, %s\n", s.Name, s.Build, s.Running)
		}
		if c.Until != 0 && s.Build == c.Until {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("%s runs build %d after %v: %w", s.Name, s.Build, c.For, err)
		}
	}
}
