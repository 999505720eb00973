// Package plat stands in for the platform: service documents with revisions, a
// watch on them, and a lagging list of instances.
//
// It exists so that the fleet can be run on one machine as separate processes.
// It is no configuration service: it reads a directory of files again and again,
// keeps what it saw in memory, and offers its readers no way of writing. Faults
// are set on a second handler, which readers never see.
//
// The directory holds NAME.ini (the text of a document), NAME.rev (optional: the
// revision that the text is to have) and instances.json (optional: the list).
//
// # Usage
//
//	platform := plat.New(plat.Settings{Directory: "examples/zagreb"})
//	go platform.Run(ctx)
//	go http.ListenAndServe("127.0.9.1:8000", platform.Reader())
//	go http.ListenAndServe("127.0.9.1:8001", platform.Admin())
package plat

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
)

const (
	scanInterval    = 50 * time.Millisecond // how soon a changed file is seen
	watchTimeout    = 25 * time.Second      // a watch answers after this with the index unchanged
	maxVersions     = 64                    // earlier versions of a document that a stale platform may serve
	maxLists        = 256                   // earlier instance lists, which bounds the lag
	maxCountedPaths = 4096                  // paths with a count of calls of their own
	instancesFile   = "instances.json"
)

// Settings are the platform's own.
type Settings struct {
	Directory string
	Lag       time.Duration // the instance list is served as it was this long ago
	Log       zerolog.Logger
}

// Document names a document and its revision.
type Document struct {
	Name     string `json:"name"`
	Revision uint64 `json:"revision"`
}

// Documents is the answer to /documents and /watch.
type Documents struct {
	Index     uint64     `json:"index"`
	Documents []Document `json:"documents"`
}

// Instance is one process as the platform knows it.
type Instance struct {
	Name    string `json:"name"`
	Role    string `json:"role"`
	Domain  string `json:"domain"`
	Address string `json:"address"`
	State   string `json:"state"`
}

// Instances is the answer to /instances.
type Instances struct {
	Index     uint64     `json:"index"`
	Instances []Instance `json:"instances"`
}

type version struct {
	revision uint64
	text     string
}

type listSnapshot struct {
	at   time.Time
	list Instances
}

// Platform serves a directory. Its methods may be called from any goroutine.
type Platform struct {
	settings Settings

	mutex           sync.Mutex
	era             uint64    // rises each time that the platform comes back from a copy
	scanPausedUntil time.Time // nothing is written until then
	index           uint64
	versions        map[string][]version // oldest first
	lists           []listSnapshot       // oldest first
	fault           Fault
	staleView       *view // what a stale platform serves
	calls           map[string]uint64
	changed         chan struct{} // closed and replaced at each change of what is served
}

// New returns a platform that has read its directory once.
func New(s Settings) *Platform {
	p := &Platform{
		settings: s,
		versions: map[string][]version{},
		calls:    map[string]uint64{},
		changed:  make(chan struct{}),
		fault:    Fault{Mode: OK},
	}
	p.scan()
	return p
}

// Run reads the directory until the context ends.
func (p *Platform) Run(ctx context.Context) {
	ticker := time.NewTicker(scanInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			p.scan()
		}
	}
}

func (p *Platform) scan() {
	p.mutex.Lock()
	paused := time.Now().Before(p.scanPausedUntil)
	p.mutex.Unlock()
	if paused {
		return
	}
	texts, revisions, err := readDocuments(p.settings.Directory)
	if err != nil {
		p.settings.Log.Error().Err(err).Msg("directory not readable")
		return
	}
	list, listErr := readInstances(p.settings.Directory)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	changed := false
	for name, text := range texts {
		changed = p.accept(name, text, revisions[name]) || changed
	}
	for name := range p.versions {
		if _, ok := texts[name]; !ok {
			delete(p.versions, name)
			changed = true
		}
	}
	if listErr == nil && p.acceptList(list) {
		changed = true
	}
	if changed {
		p.index++
		p.notifyWatches()
	}
}

// accept takes a text as a document's newest version and reports whether it is new.
func (p *Platform) accept(name, text string, required uint64) bool {
	kept := p.versions[name]
	next := version{revision: 1, text: text}
	if len(kept) > 0 {
		last := kept[len(kept)-1]
		if last.text == text && (required == 0 || required == last.revision) {
			return false
		}
		next.revision = last.revision + 1
	}
	if required != 0 {
		next.revision = required
	}
	kept = append(kept, next)
	if len(kept) > maxVersions {
		kept = kept[len(kept)-maxVersions:]
	}
	p.versions[name] = kept
	p.settings.Log.Info().Str("document", name).Uint64("revision", next.revision).Msg("document changed")
	return true
}

// rewriteDelay is how long after the platform's return from a copy the teams write again what it lost: the directory has it still.
const rewriteDelay = time.Second

// restore brings the platform back from a copy that lacks the last versions of each document. Its numbers are given out again.
func (p *Platform) restore(back int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for name, kept := range p.versions {
		dropped := min(back, len(kept)-1)
		p.versions[name] = kept[:len(kept)-dropped]
		p.index -= min(p.index, uint64(dropped))
	}
	p.era++
	p.scanPausedUntil = time.Now().Add(rewriteDelay)
	p.notifyWatches()
	p.settings.Log.Info().Uint64("era", p.era).Msg("back from a copy")
}

func (p *Platform) acceptList(list []Instance) bool {
	if len(p.lists) > 0 && sameInstances(p.lists[len(p.lists)-1].list.Instances, list) {
		return false
	}
	p.lists = append(p.lists, listSnapshot{
		at:   time.Now(),
		list: Instances{Index: p.index + 1, Instances: list},
	})
	if len(p.lists) > maxLists {
		p.lists = p.lists[len(p.lists)-maxLists:]
	}
	return true
}

// notifyWatches lets every waiting watch look again. The mutex is held.
func (p *Platform) notifyWatches() {
	close(p.changed)
	p.changed = make(chan struct{})
}

func sameInstances(a, b []Instance) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

func readDocuments(directory string) (texts map[string]string, revisions map[string]uint64, err error) {
	defer func() { err = errors.Wrap(err, "read documents") }()
	files, err := os.ReadDir(directory)
	if err != nil {
		return nil, nil, err
	}
	texts, revisions = map[string]string{}, map[string]uint64{}
	for _, f := range files {
		name, isDocument := strings.CutSuffix(f.Name(), ".ini")
		if !isDocument || f.IsDir() {
			continue
		}
		text, err := os.ReadFile(filepath.Join(directory, f.Name()))
		if err != nil {
			return nil, nil, err
		}
		texts[name] = string(text)
		revisions[name] = readRevision(filepath.Join(directory, name+".rev"))
	}
	return texts, revisions, nil
}

// readRevision returns 0 if the file is missing or is being written.
func readRevision(path string) uint64 {
	text, err := os.ReadFile(path)
	if err != nil {
		return 0
	}
	n, err := strconv.ParseUint(strings.TrimSpace(string(text)), 10, 64)
	if err != nil {
		return 0
	}
	return n
}

func readInstances(directory string) (list []Instance, err error) {
	defer func() { err = errors.Wrap(err, "read instances") }()
	text, err := os.ReadFile(filepath.Join(directory, instancesFile))
	if os.IsNotExist(err) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	if err := json.Unmarshal(text, &list); err != nil {
		return nil, err
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list, nil
}
