package lab

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"silvercove/internal/keys"
	"silvercove/internal/metadataservice"
	"silvercove/internal/standin/repository"
	"silvercove/internal/tufrepo"
)

// proxyFixture is a metadata proxy with its mirrors, its Director and the key of its servers.
type proxyFixture struct {
	dir       string
	proxy     *metadataservice.Service
	clock     *repository.Clock
	stop      func()
	key       *keys.Key    // signing key that all servers share
	stageLine string       // line of the configuration file that sets the stage
	write     func() error // writes the configuration file with the current stageLine
	director  *repository.Publisher
}

func (w *proxyFixture) close() {
	if w.stop != nil {
		w.stop()
	}
	_ = os.RemoveAll(w.dir)
}

// newProxyFixture starts a metadata proxy for n servers and waits until it serves current metadata.
func (m Metadata) newProxyFixture(n int) (w *proxyFixture, err error) {
	w = &proxyFixture{clock: repository.NewClock(true), stageLine: "wave 2 testing 35%"}
	if w.dir, err = os.MkdirTemp("", "lab"); err != nil {
		return nil, err
	}
	defer func() {
		if err != nil {
			w.close()
		}
	}()
	var config strings.Builder
	mirrors, err := w.addImage(&config)
	if err != nil {
		return nil, err
	}
	if err := w.addDirector(&config, n); err != nil {
		return nil, err
	}
	text := config.String()
	w.write = func() error {
		return os.WriteFile(filepath.Join(w.dir, "cove.conf"), []byte(text+"  "+w.stageLine+"\n }\n}\n"), 0o600)
	}
	if err := w.write(); err != nil {
		return nil, err
	}
	if err := w.start(mirrors); err != nil {
		return nil, err
	}
	return w, w.waitCurrent()
}

// addImage makes the image repository and its mirrors, and appends them to the configuration.
func (w *proxyFixture) addImage(config *strings.Builder) (mirrors []*repository.Mirror, err error) {
	image, err := repository.NewPublisher(filepath.Join(w.dir, "image"), w.clock, tufrepo.Lifetimes{}, true)
	if err != nil {
		return nil, err
	}
	for b := uint16(1); b <= 2; b++ {
		body := make([]byte, 10_000)
		body[0] = byte(b)
		if err := image.Add(fmt.Sprintf("app/%d.tar", b), b, body); err != nil {
			return nil, err
		}
	}
	fmt.Fprintf(config, "metadata {\n listen 127.0.0.1:0\n floor floor\n waiting 20000\n connections 20000\n"+
		" repository image {\n  root root.json\n")
	if err := os.WriteFile(filepath.Join(w.dir, "root.json"), image.Root(1), 0o600); err != nil {
		return nil, err
	}
	for i := range 4 {
		mirror, err := repository.NewMirror(fmt.Sprint("m", i), image, nil)
		if err != nil {
			return nil, err
		}
		mirrors = append(mirrors, mirror)
		fmt.Fprintf(config, "  mirror m%d %s z up\n", i, mirror.Address())
	}
	return mirrors, nil
}

// addDirector makes the keys of the Director and of the servers, and appends the Director with n servers to the
// configuration.
func (w *proxyFixture) addDirector(config *strings.Builder, n int) (err error) {
	if w.director, err = repository.NewPublisher(filepath.Join(w.dir, "director"), w.clock, tufrepo.Lifetimes{}, true); err != nil {
		return err
	}
	config.WriteString(" }\n director {\n  image image\n  chain director\n  lasts 10m\n  running 1\n" +
		"  package 1 app/1.tar\n  package 2 app/2.tar\n")
	for _, role := range []string{"targets", "snapshot", "timestamp"} {
		for i, k := range w.director.Keys[role] {
			name := fmt.Sprintf("%s%d.key", role, i)
			if err := k.Save(filepath.Join(w.dir, name), nil); err != nil {
				return err
			}
			config.WriteString("  key " + name + "\n")
		}
	}
	if w.key, err = keys.Generate("ed25519"); err != nil {
		return err
	}
	if err := w.key.Save(filepath.Join(w.dir, "server.key"), nil); err != nil {
		return err
	}
	for i := range n {
		fmt.Fprintf(config, "  server s%d z%d large server.pub\n", i, i%3)
	}
	return nil
}

// start runs the metadata proxy until w.stop is called. w.stop also closes the mirrors.
func (w *proxyFixture) start(mirrors []*repository.Mirror) (err error) {
	w.proxy, err = metadataservice.New(filepath.Join(w.dir, "cove.conf"), func(string) string { return "" }, w.clock.Now,
		zerolog.Nop())
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = w.proxy.Run(ctx)
	}()
	w.stop = func() {
		cancel()
		<-ended
		for _, mirror := range mirrors {
			mirror.Close()
		}
	}
	return nil
}

// waitCurrent waits until the metadata proxy serves the image repository, for at most 20 s.
func (w *proxyFixture) waitCurrent() error {
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		resp, err := http.Get("http://" + w.proxy.Address() + "/r/image/metadata/timestamp.json")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == 200 {
				return nil
			}
		}
		if time.Now().After(end) {
			return fmt.Errorf("the metadata proxy has no current metadata after 20 s")
		}
	}
}
