package main

import (
	"fmt"
	"maps"
	"math"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"silvercove/internal/evidence"
)

type verdictCmd struct {
	Explain verdictExplainCmd `cmd:"" help:"Tell why each vote was cast, from a relay's evidence file."`
	Plan    verdictPlanCmd    `cmd:"" help:"Tell how long evidence takes at an installation's traffic."`
}

type verdictExplainCmd struct {
	File string `arg:"" type:"existingfile" help:"The evidence file that the operator's file of a relay names."`
}

// Run prints the reasons.
func (c *verdictExplainCmd) Run() error {
	l, err := evidence.ReadFile(c.File)
	if err != nil {
		return err
	}
	fmt.Println(strings.Join(l.Explain(), "\n"))
	return nil
}

type verdictPlanCmd struct {
	Rates  map[string]float64 `arg:"" help:"Requests a second of each request class at all relays, such as read=300 sell=2."`
	Relays int                `default:"1" help:"Relays that share them and exchange nothing."`
	Caps   []float64          `default:"0.1,0.35,1" help:"Exposure caps of the stages."`
	Base   float64            `default:"0.01" help:"Failure share of the earlier package."`
	Effect float64            `default:"0.2" help:"Failures beyond it that are to be ruled out."`
	Miss   float64            `default:"0.05" help:"Chance of a miss, for one request class at one relay."`
}

// Run prints the table: outcomes and time for each op type in each wave.
func (c *verdictPlanCmd) Run() error {
	switch {
	case len(c.Rates) == 0 || c.Relays < 1:
		return fmt.Errorf("op types with their rates, and one relay or more, are wanted")
	case c.Base < 0 || c.Effect <= 0 || c.Base+c.Effect >= 1 || c.Miss <= 0 || c.Miss >= 1:
		return fmt.Errorf("base %g, effect %g, miss %g: shares between 0 and 1 are wanted, base and effect below 1 together",
			c.Base, c.Effect, c.Miss)
	}
	minOutcomes := math.Log(1/c.Miss) / math.Log((1-c.Base)/(1-c.Base-c.Effect))
	// With failures at the base the wealth grows by this on average: the outcomes that are needed in the middle.
	growth := c.Base*math.Log(max(c.Base, 1e-9)/(c.Base+c.Effect)) + (1-c.Base)*math.Log((1-c.Base)/(1-c.Base-c.Effect))
	meanOutcomes := math.Log(1/c.Miss) / growth
	fmt.Printf("%.0f outcomes at the least, about %.0f at a base of %.3g, for each op type at one relay\n", math.Ceil(minOutcomes),
		math.Ceil(meanOutcomes), c.Base)
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprint(w, "op type\ta second\t")
	for i := range c.Caps {
		_, _ = fmt.Fprintf(w, "wave %d\t", i+1)
	}
	_, _ = fmt.Fprintln(w)
	for _, name := range slices.Sorted(maps.Keys(c.Rates)) {
		rate := c.Rates[name]
		_, _ = fmt.Fprintf(w, "%s\t%g\t", name, rate)
		for _, stageCap := range c.Caps {
			seconds := meanOutcomes / (rate * stageCap * 0.9 / float64(c.Relays))
			_, _ = fmt.Fprintf(w, "%s\t", time.Duration(min(seconds, 1e7)*float64(time.Second)).Round(100*time.Millisecond))
		}
		_, _ = fmt.Fprintln(w)
	}
	return w.Flush()
}
