package prefs

import (
	"crypto/tls"
	"encoding/hex"
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"

	"mangowinch/internal/conf/strict"
)

// maxKeyText is the maximum size of a key file in bytes.
const maxKeyText = 1 << 10

// Load reads the settings file at path and the key files that it names, and checks the
// certificate. Paths in the file are relative to its directory. The error wraps
// strict.Faults with all faults, unless the file itself cannot be read.
func Load(path string) (settings *Settings, err error) {
	defer func() { err = errors.Wrap(err, "settings") }()

	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	f := strict.Read(path, text)
	directory := filepath.Dir(path)
	s := &Settings{
		Process:  readProcess(f.One("process")),
		Platform: Platform{Address: readURL(f.One("platform"), "address")},
		Keys:     readKeys(f, directory),
	}
	if from, ok := f.Maybe("peers"); ok {
		s.Peers = from.AddrPorts("seeds")
	}
	if from, ok := f.Maybe("entry"); ok {
		s.Entry = readEntry(from)
	}
	if from, ok := f.Maybe("agent"); ok {
		s.Agent = readAgent(from, directory)
		if s.Entry != nil {
			from.Fault("", strict.Invalid, "a process is either an entry or an agent")
		}
	} else if s.Entry == nil {
		f.Fault(strict.Missing, "neither [entry] nor [agent]")
	}
	if err := f.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

func readProcess(from *strict.Section) Process {
	return Process{
		Name:     from.Word("name"),
		Domain:   from.Word("domain"),
		Operator: from.AddrPort("operator"),
	}
}

func readEntry(from *strict.Section) *Entry {
	return &Entry{Bind: from.Addr("bind"), Link: from.AddrPort("link")}
}

// sideCount is how many processes run while an agent is replaced: the old one and its successor.
const sideCount = 2

func readAgent(from *strict.Section, directory string) *Agent {
	a := &Agent{
		Service:     from.Word("service"),
		Server:      from.Word("server"),
		Listen:      from.AddrPort("listen"),
		Backend:     readURL(from, "backend"),
		Certificate: readPath(from, "certificate", directory),
		Private:     readPath(from, "private", directory),
	}
	if from.Has("sides") {
		a.Sides = from.AddrPorts("sides")
		if len(a.Sides) != sideCount {
			from.Fault("sides", strict.Invalid, "two addresses are needed")
		}
	}
	if a.Certificate != "" && a.Private != "" {
		if _, err := tls.LoadX509KeyPair(a.Certificate, a.Private); err != nil {
			from.Fault("certificate", strict.Invalid, relativeError(err, directory))
		}
	}
	return a
}

func readKeys(f *strict.File, directory string) map[string]Key {
	keys := map[string]Key{}
	for _, from := range f.Each("key") {
		path := readPath(from, "file", directory)
		if path == "" {
			continue
		}
		key, err := loadKey(path)
		if err != nil {
			from.Fault("file", strict.Invalid, relativeError(err, directory))
			continue
		}
		keys[from.Name] = key
	}
	if len(keys) == 0 {
		f.Fault(strict.Missing, "no [key NAME] that can be used")
	}
	return keys
}

// loadKey reads a key of 32 bytes in hexadecimal digits. Its error never contains a
// part of the file, which may be secret.
func loadKey(path string) (key Key, err error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Key{}, err
	}
	if len(text) > maxKeyText {
		return Key{}, errors.New("too large for a key")
	}
	raw, err := hex.DecodeString(strings.TrimSpace(string(text)))
	if err != nil || len(raw) != KeySize {
		return Key{}, errors.Newf("not %d bytes in hexadecimal digits", KeySize)
	}
	return Key(raw), nil
}

// readPath returns a path that is usable from the working directory; the value of the key is relative to the directory
// of the settings file.
func readPath(from *strict.Section, key, directory string) string {
	text := from.Text(key)
	if text == "" || filepath.IsAbs(text) {
		return text
	}
	return filepath.Join(directory, text)
}

// relativeError returns the text of an error with paths relative to the directory of the settings file.
func relativeError(err error, directory string) string {
	return strings.ReplaceAll(err.Error(), directory+string(filepath.Separator), "")
}

func readURL(from *strict.Section, key string) *url.URL {
	text := from.Text(key)
	if text == "" {
		return nil
	}
	u, err := url.Parse(text)
	if err != nil || u.Scheme != "http" || !isAddrPort(u.Host) || strings.Trim(u.Path, "/") != "" || u.RawQuery != "" || u.User != nil {
		from.Fault(key, strict.Invalid, fmt.Sprintf("%q is not http:// with an IP number and a port", text))
		return nil
	}
	return &url.URL{Scheme: u.Scheme, Host: u.Host}
}

func isAddrPort(text string) bool {
	a, err := netip.ParseAddrPort(text)
	return err == nil && a.Port() != 0
}
