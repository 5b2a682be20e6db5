package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"time"

	"golang.org/x/term"

	"silvercove/internal/lab"
)

// labRunCmd is the sub-command that runs an experiment.
type labRunCmd struct {
	File     string `arg:"" type:"existingfile" help:"The experiment's file."`
	Out      string `required:"" help:"File for the results, lines of JSON."`
	Rollouts int    `help:"Rollouts of each package under each condition, instead of the file's number."`
}

// Run runs the experiment, writes its results and prints a summary of them.
func (c *labRunCmd) Run() error {
	e, err := lab.ReadExperiment(c.File, "")
	if err != nil {
		return err
	}
	if c.Rollouts > 0 {
		e.Rollouts = c.Rollouts
	}
	all, err := runExperiment(e, c.Out)
	if err != nil {
		return err
	}
	lab.Print(os.Stdout, "Simulated rollouts", all, e.FalseAlarms, e.Misses)
	return nil
}

// runExperiment runs an experiment and writes its results to a file. It shows its progress if standard error is a
// terminal.
func runExperiment(e lab.Experiment, path string) ([]lab.Result, error) {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	out, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = out.Close() }()
	start, lastProgress := time.Now(), time.Now()
	terminal := term.IsTerminal(int(os.Stderr.Fd()))
	all, err := e.Run(ctx, out, func(done, of int) {
		if terminal && (done == of || time.Since(lastProgress) > 100*time.Millisecond) {
			lastProgress = time.Now()
			fmt.Fprintf(os.Stderr, "\r%d of %d rollouts, %s ", done, of, lab.Elapsed(start))
		}
	})
	if terminal {
		fmt.Fprintln(os.Stderr)
	}
	if err != nil {
		return nil, err
	}
	return all, withDiskFull(out.Close())
}

// labSweepCmd is the sub-command that runs an experiment for several values of a directive.
type labSweepCmd struct {
	File   string   `arg:"" type:"existingfile" help:"The experiment's file."`
	Name   string   `arg:"" help:"Directive to vary, which takes one value, such as rate."`
	Values []string `arg:"" help:"Values of the directive."`
	Out    string   `required:"" type:"existingdir" help:"Folder for the results, a file for each value."`
}

// Run runs the experiment once for each value of the directive.
func (c *labSweepCmd) Run() error {
	text, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	for _, v := range c.Values {
		var b strings.Builder
		lines := bufio.NewScanner(bytes.NewReader(text))
		for lines.Scan() {
			if f := strings.Fields(lines.Text()); len(f) == 0 || f[0] != c.Name {
				b.WriteString(lines.Text() + "\n")
			}
		}
		e, err := lab.ReadExperiment(c.File, b.String()+c.Name+" "+v+"\n")
		if err != nil {
			return err
		}
		all, err := runExperiment(e, filepath.Join(c.Out, c.Name+"-"+strings.Trim(v, "%")+".jsonl"))
		if err != nil {
			return err
		}
		fmt.Printf("%s %s\n", c.Name, v)
		lab.Print(os.Stdout, "Simulated rollouts", all, e.FalseAlarms, e.Misses)
	}
	return nil
}

// labCompareCmd is the sub-command that compares the results of two files.
type labCompareCmd struct {
	A string `arg:"" type:"existingfile" help:"Results of lab run."`
	B string `arg:"" type:"existingfile" help:"Results to compare them with."`
}

// Run prints a comparison of the results of two files.
func (c *labCompareCmd) Run() error {
	a, err := readResults(c.A)
	if err != nil {
		return err
	}
	b, err := readResults(c.B)
	if err != nil {
		return err
	}
	return lab.Compare(os.Stdout, filepath.Base(c.A), filepath.Base(c.B), a, b)
}

// readResults reads a file of results. A file without results is an error.
func readResults(path string) ([]lab.Result, error) {
	in, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = in.Close() }()
	all, err := lab.ReadResults(in)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if len(all) == 0 {
		return nil, fmt.Errorf("%s: no results", path)
	}
	return all, nil
}

// labReportCmd is the sub-command that writes a report on a file of results.
type labReportCmd struct {
	Results     string  `arg:"" type:"existingfile" help:"Results of lab run."`
	HTML        string  `help:"File for the page with plots."`
	Text        string  `help:"File for the plain text. Without --html and --text the text is printed."`
	Title       string  `default:"Simulated rollouts" help:"Title of the page."`
	FalseAlarms float64 `default:"0.05" help:"Declared rate of false alarms."`
	Misses      float64 `default:"0.05" help:"Declared rate of misses."`
}

// Run writes the report as a page, as text or as both. Without --html and --text it prints the text.
func (c *labReportCmd) Run() error {
	all, err := readResults(c.Results)
	if err != nil {
		return err
	}
	if c.HTML != "" {
		if err := writeFile(c.HTML, func(w io.Writer) error { return lab.HTML(w, c.Title, all, c.FalseAlarms, c.Misses) }); err != nil {
			return err
		}
	}
	write := func(w io.Writer) error { lab.Print(w, c.Title, all, c.FalseAlarms, c.Misses); return nil }
	if c.Text != "" {
		return writeFile(c.Text, write)
	}
	if c.HTML == "" {
		return write(os.Stdout)
	}
	return nil
}

// writeFile creates a file and calls the function write to write the content of the file.
func writeFile(path string, write func(io.Writer) error) error {
	out, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := write(out); err != nil {
		_ = out.Close()
		return withDiskFull(err)
	}
	return withDiskFull(out.Close())
}

// labLoopbackCmd is the sub-command that runs rollouts with real relays.
type labLoopbackCmd struct {
	File     string `arg:"" type:"existingfile" help:"The experiment's file."`
	Rollouts int    `default:"6" help:"Rollouts of each package."`
	Width    int    `default:"6" help:"Concurrent rollouts; each has its own relays, backends and clients."`
}

// Run runs rollouts with real relays and in the simulation, and prints a comparison of their results.
func (c *labLoopbackCmd) Run() error {
	e, err := lab.ReadExperiment(c.File, "")
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	terminal := term.IsTerminal(int(os.Stderr.Fd()))
	sockets, err := e.CompareLoopback(ctx, c.Rollouts, c.Width, os.Stdout, func(done, of int) {
		if terminal {
			fmt.Fprintf(os.Stderr, "\r%d of %d rollouts ", done, of)
		}
	})
	if err != nil {
		return err
	}
	lab.Print(os.Stdout, "Rollouts with real relays on loopback, stand-in backends and platform", sockets, e.FalseAlarms, e.Misses)
	return nil
}
