package repository

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/theupdateframework/go-tuf/v2/metadata"
	"github.com/theupdateframework/go-tuf/v2/metadata/config"
	"github.com/theupdateframework/go-tuf/v2/metadata/updater"

	"silvercove/internal/keys"
	"silvercove/internal/tufverify"
)

// Checker reads every response that reaches the clients, counts the requests and answers, and records violations of these rules.
// A metadata file in a response with status 200 must have the version that its name states, if any. A root file must equal the
// publisher's, and may have expired. Any other file must be signed correctly and must not have expired. Its version must not be
// lower than a version of the same role that any client, including the same one, had been given when the request was sent.
// A response with status 503 must have a Retry-After header.
type Checker struct {
	Now  func() time.Time
	Root func(version int) []byte // returns the publisher's root file of a version, or nil if there is none; a nil function disables the checks of roots and signatures

	mu             sync.Mutex
	newestGiven    map[string]int64 // highest version that any client has received, by repository and role
	newestByClient map[string]int64
	Faults         []string
	Answers        map[int]int // number of responses by status; the status 0 stands for requests without a response
	Requests       int
}

// NewChecker returns a checker for a publisher's repository.
func NewChecker(p *Publisher) *Checker {
	return &Checker{Now: p.Clock.Now, Root: p.Root, newestGiven: map[string]int64{}, newestByClient: map[string]int64{},
		Answers: map[int]int{}}
}

func (c *Checker) recordViolation(format string, args ...any) {
	c.Faults = append(c.Faults, fmt.Sprintf(format, args...))
}

// Reset clears the record of the versions that clients were given. It must be called after publishers have rotated a role's keys.
// The role's versions may then start again, and a lower version is no violation.
func (c *Checker) Reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.newestGiven)
	clear(c.newestByClient)
}

// Transport returns a client's transport. It sends the requests over the transport given as the parameter to, and checks each
// response.
func (c *Checker) Transport(client, base string, to http.RoundTripper) http.RoundTripper {
	return &checkedTransport{c, client, base, to}
}

type checkedTransport struct {
	checker *Checker
	client  string
	base    string
	next    http.RoundTripper
}

// RoundTrip sends a request and reads the whole response.
func (t *checkedTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	c := t.checker
	path := strings.TrimPrefix(req.URL.Path, t.base)
	kind, name, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	f, ok := tufverify.ParseFile(name)
	key := t.base + "/" + f.Role
	c.mu.Lock()
	c.Requests++
	newestAnywhere, newestOfClient := c.newestGiven[key], c.newestByClient[t.client+key]
	c.mu.Unlock()
	sentAt := c.Now()
	resp, err := t.next.RoundTrip(req)
	if err != nil {
		c.mu.Lock()
		c.Answers[0]++
		c.mu.Unlock()
		return nil, err
	}
	body, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	resp.Body = io.NopCloser(bytes.NewReader(body))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Answers[resp.StatusCode]++
	if err != nil { // the body was cut off, which the client can detect
		return nil, err
	}
	if resp.StatusCode == 503 && resp.Header.Get("Retry-After") == "" {
		c.recordViolation("%s: %s: status 503 without Retry-After", t.client, path)
	}
	if resp.StatusCode != 200 || kind != "metadata" || !ok {
		return resp, nil
	}
	c.checkMetadata(t.client, key, f, body, sentAt, newestAnywhere, newestOfClient)
	return resp, nil
}

// checkMetadata checks one metadata file that was passed on with status 200.
func (c *Checker) checkMetadata(client, key string, f tufverify.File, body []byte, sentAt time.Time, newestAnywhere, newestOfClient int64) {
	var m struct {
		Signed struct {
			Version int64
			Expires time.Time
		}
	}
	if err := json.Unmarshal(body, &m); err != nil {
		c.recordViolation("%s: %s: %v", client, f, err)
		return
	}
	v := m.Signed.Version
	if f.Version != 0 && f.Version != v {
		c.recordViolation("%s: %s has version %d", client, f, v)
	}
	if f.Role == "root" { // a root must equal the publisher's root of that version, and may have expired
		if f.Version != 0 && c.Root != nil && !bytes.Equal(body, c.Root(int(f.Version))) {
			c.recordViolation("%s: %s differs from the publisher's", client, f)
		}
		return
	}
	if !sentAt.Before(m.Signed.Expires) {
		c.recordViolation("%s: %s %d was passed on at %s, but expired at %s", client, f.Role, v, sentAt, m.Signed.Expires)
	}
	if v < newestAnywhere {
		c.recordViolation("%s: %s %d was passed on after a client was given %d", client, f.Role, v, newestAnywhere)
	}
	if v < newestOfClient {
		c.recordViolation("%s: %s %d was passed on after the same client was given %d", client, f.Role, v, newestOfClient)
	}
	c.newestGiven[key] = max(c.newestGiven[key], v)
	c.newestByClient[client+key] = max(c.newestByClient[client+key], v)
	if c.Root != nil {
		c.checkSignature(client, f, body)
	}
}

// checkSignature checks that a file is signed by the keys of any published root. The keys of earlier roots are accepted too, because
// a rotation of keys may be in progress.
func (c *Checker) checkSignature(client string, f tufverify.File, body []byte) {
	for v := 1; ; v++ {
		text := c.Root(v)
		if text == nil {
			break
		}
		root, err := (&metadata.Metadata[metadata.RootType]{}).FromBytes(text)
		if err != nil {
			continue
		}
		switch f.Role {
		case "timestamp":
			m, err := (&metadata.Metadata[metadata.TimestampType]{}).FromBytes(body)
			if err == nil && root.VerifyDelegate(f.Role, m) == nil {
				return
			}
		case "snapshot":
			m, err := (&metadata.Metadata[metadata.SnapshotType]{}).FromBytes(body)
			if err == nil && root.VerifyDelegate(f.Role, m) == nil {
				return
			}
		case "targets":
			m, err := (&metadata.Metadata[metadata.TargetsType]{}).FromBytes(body)
			if err == nil && root.VerifyDelegate(f.Role, m) == nil {
				return
			}
		default: // a delegated role: the client verifies its signature
			return
		}
	}
	c.recordViolation("%s: %s is not signed by the keys of any root", client, f)
}

// FoundFaults returns a copy of the faults found so far.
func (c *Checker) FoundFaults() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.Faults...)
}

// Server is one server that updates its package: it fetches metadata and packages from the metadata service, installs, and reports.
type Server struct {
	Name, Hardware string
	Front          string // URL of the metadata service, http://address
	Image          string // name of the image repository
	ImageRoot      []byte
	DirectorRoot   []byte
	Key            *keys.Key
	Now            func() time.Time
	ImageHTTP      http.RoundTripper
	DirectorHTTP   http.RoundTripper
	FailFirst      int  // number of installations that are still to fail
	Decline        bool // the server declines each package

	Running string
	Build   uint16
	counter int64
}

// SetCounter sets the counter value of the last report. The next report has that value plus one.
func (s *Server) SetCounter(from int64) { s.counter = from }

// fetcher connects the public TUF library to a transport.
type fetcher struct{ http.RoundTripper }

// DownloadFile downloads a file of at most limit bytes.
func (f fetcher) DownloadFile(url string, limit int64, _ time.Duration) ([]byte, error) {
	req, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	resp, err := f.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, &metadata.ErrDownloadHTTP{StatusCode: resp.StatusCode, URL: url}
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err == nil && int64(len(data)) > limit {
		err = &metadata.ErrDownloadLengthMismatch{Msg: "too long"}
	}
	return data, err
}

// NewUpdater runs the client workflow of the TUF specification against one repository of the metadata service.
func NewUpdater(base string, root []byte, now time.Time, transport http.RoundTripper) (*updater.Updater, error) {
	cfg, err := config.New(base+"/metadata", root)
	if err != nil {
		return nil, err
	}
	cfg.RemoteTargetsURL, cfg.DisableLocalCache, cfg.Fetcher = base+"/targets", true, fetcher{transport}
	client, err := updater.New(cfg)
	if err != nil {
		return nil, err
	}
	client.UnsafeSetRefTime(now)
	return client, client.Refresh()
}

// ErrAttack is the error of a server that refuses an inconsistent or altered package.
var ErrAttack = errors.New("refused")

// Step runs one update cycle of a server: full verification, the installation if another package is assigned, and a report.
func (s *Server) Step() error {
	directorUpdater, err := NewUpdater(s.Front+"/director/"+s.Name, s.DirectorRoot, s.Now(), s.DirectorHTTP)
	if err != nil {
		return fmt.Errorf("director: %w", err)
	}
	assigned := directorUpdater.GetTopLevelTargets()
	path := ""
	var target *metadata.TargetFiles
	for candidatePath, candidate := range assigned {
		var custom tufverify.Custom
		if candidate.Custom != nil {
			_ = json.Unmarshal(*candidate.Custom, &custom)
		}
		if custom.ECUs[s.Name] == s.Hardware {
			path, target = candidatePath, candidate
		}
	}
	if path == "" || path == s.Running {
		return s.report("", "", "")
	}
	imageUpdater, err := NewUpdater(s.Front+"/r/"+s.Image, s.ImageRoot, s.Now(), s.ImageHTTP)
	if err != nil {
		return fmt.Errorf("image: %w", err)
	}
	imageTarget, err := imageUpdater.GetTargetInfo(path)
	if err != nil {
		return fmt.Errorf("image: %w", err)
	}
	if imageTarget.Length != target.Length || !imageTarget.Hashes.Equal(target.Hashes) {
		_ = s.report("", "", "the repositories differ on "+path)
		return fmt.Errorf("%s: %w: the repositories differ", path, ErrAttack)
	}
	if s.Decline {
		return s.report("declined", path, "")
	}
	_, body, err := imageUpdater.DownloadTarget(imageTarget, "", "")
	if err != nil {
		return fmt.Errorf("package: %w", err)
	}
	if sum := sha256.Sum256(body); !bytes.Equal(sum[:], target.Hashes["sha256"]) {
		return fmt.Errorf("%s: %w: wrong bytes", path, ErrAttack)
	}
	if s.FailFirst > 0 {
		s.FailFirst--
		return s.report("failed", path, "")
	}
	var custom tufverify.Custom
	_ = json.Unmarshal(*target.Custom, &custom)
	s.Running, s.Build = path, custom.Build
	return s.report("ok", path, "")
}

// report signs a report with the next counter value and sends it once.
func (s *Server) report(installed, tried, attack string) error {
	s.counter++
	text, err := tufverify.SignReport(tufverify.Report{Server: s.Name, Hardware: s.Hardware, Counter: s.counter, At: s.Now(),
		RunningTarget: s.Running, Build: s.Build, InstallResult: installed, AttemptedTarget: tried, DetectedAttack: attack}, s.Key.Private)
	if err != nil {
		return err
	}
	status, err := s.Send(text)
	if err == nil && status != 200 {
		err = fmt.Errorf("report: status %d", status)
	}
	return err
}

// Send sends a manifest, which is a signed report, and returns the status of the response.
func (s *Server) Send(manifest []byte) (int, error) {
	req, err := http.NewRequest(http.MethodPost, s.Front+"/director/"+s.Name+"/manifest", bytes.NewReader(manifest))
	if err != nil {
		return 0, err
	}
	resp, err := s.DirectorHTTP.RoundTrip(req)
	if err != nil {
		return 0, err
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode, nil
}
