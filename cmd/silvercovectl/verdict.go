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

// verdictCmd holds the sub-commands of verdict.
type verdictCmd struct {
	Explain verdictExplainCmd `cmd:"" help:"Explain why each vote was cast, from a relay's evidence file."`
	Plan    verdictPlanCmd    `cmd:"" help:"Estimate how long enough evidence takes at an installation's traffic."`
}

// verdictExplainCmd is the sub-command that explains votes.
type verdictExplainCmd struct {
	File string `arg:"" type:"existingfile" help:"The evidence file that the operator's file of a relay names."`
}

// Run prints the explanation of each vote in an evidence file.
func (c *verdictExplainCmd) Run() error {
	l, err := evidence.ReadFile(c.File)
	if err != nil {
		return err
	}
	fmt.Println(strings.Join(l.Explain(), "\n"))
	return nil
}

// verdictPlanCmd is the sub-command that estimates how long a relay takes to gather enough evidence to rule out a failure
// share.
type verdictPlanCmd struct {
	Rates  map[string]float64 `arg:"" help:"Requests per second of each request class at all relays together, such as read=300 sell=2."`
	Relays int                `default:"1" help:"Number of relays that share these requests and exchange no evidence."`
	Caps   []float64          `default:"0.1,0.35,1" help:"Exposure caps of the stages."`
	Base   float64            `default:"0.01" help:"Failure share of the earlier package."`
	Effect float64            `default:"0.2" help:"Failure share beyond --base that is to be ruled out."`
	Miss   float64            `default:"0.05" help:"Probability of a miss, for one request class at one relay."`
}

// Run prints how many request outcomes a relay needs to rule out a failure share of c.Base+c.Effect. For each request
// class and stage, it also prints how long a relay takes to get these outcomes.
func (c *verdictPlanCmd) Run() error {
	switch {
	case len(c.Rates) == 0 || c.Relays < 1:
		return fmt.Errorf("give request classes with their rates, and at least one relay")
	case c.Base < 0 || c.Effect <= 0 || c.Base+c.Effect >= 1 || c.Miss <= 0 || c.Miss >= 1:
		return fmt.Errorf("base %g, effect %g, miss %g: allowed are shares between 0 and 1, with base and effect below 1 together",
			c.Base, c.Effect, c.Miss)
	}
	minOutcomes := math.Log(1/c.Miss) / math.Log((1-c.Base)/(1-c.Base-c.Effect))
	// Each outcome multiplies the wealth of the betting test by a factor. growth is the mean logarithm of this factor
	// at the failure share Base. The wealth reaches 1/Miss after log(1/Miss)/growth outcomes on average.
	growth := c.Base*math.Log(max(c.Base, 1e-9)/(c.Base+c.Effect)) + (1-c.Base)*math.Log((1-c.Base)/(1-c.Base-c.Effect))
	meanOutcomes := math.Log(1/c.Miss) / growth
	fmt.Printf("at least %.0f outcomes, about %.0f at a base of %.3g, for each request class at one relay\n", math.Ceil(minOutcomes),
		math.Ceil(meanOutcomes), c.Base)
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprint(w, "request class\tper second\t")
	for i := range c.Caps {
		_, _ = fmt.Fprintf(w, "stage %d\t", i+1)
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
