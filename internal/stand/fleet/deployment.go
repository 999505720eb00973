package fleet

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"regexp"
	"strings"

	"github.com/cockroachdb/errors"

	"mangowinch/internal/conf/docs"
	"mangowinch/internal/conf/prefs"
)

const (
	// Blocks are 127.1.0.0/16 to 127.199.0.0/16. Block 127.0.0.0/16, which the examples
	// use, stays free for processes of an example that are started by hand.
	octetEnd  = 200
	claimPort = 65000
)

var exampleBlock = regexp.MustCompile(`\b127\.0\.`)

// block is a /16 of loopback addresses that only one fleet uses.
type block struct {
	octet int
	claim net.Listener // open while the block is in use
}

// claimBlock claims the first free block. A listening socket that only one process can
// open marks a block as in use; the kernel closes it even if its owner is killed.
func claimBlock() (*block, error) {
	for octet := 1; octet < octetEnd; octet++ {
		claim, err := net.Listen("tcp", fmt.Sprintf("127.%d.255.254:%d", octet, claimPort))
		if err == nil {
			return &block{octet: octet, claim: claim}, nil
		}
	}
	return nil, errors.New("no block of loopback addresses is free")
}

func (b *block) release() { b.claim.Close() }

// rewrite replaces addresses in 127.0.0.0/16 by addresses in the block.
func (b *block) rewrite(text []byte) []byte {
	return exampleBlock.ReplaceAll(text, fmt.Appendf(nil, "127.%d.", b.octet))
}

func copyDeployment(from, to string, b *block) (err error) {
	defer func() { err = errors.Wrap(err, "copy deployment") }()
	for _, part := range []string{"documents", "settings"} {
		if err := os.MkdirAll(filepath.Join(to, part), 0o700); err != nil {
			return err
		}
		files, err := os.ReadDir(filepath.Join(from, part))
		if err != nil {
			return err
		}
		for _, file := range files {
			text, err := os.ReadFile(filepath.Join(from, part, file.Name()))
			if err != nil {
				return err
			}
			if err := os.WriteFile(filepath.Join(to, part, file.Name()), b.rewrite(text), 0o600); err != nil {
				return err
			}
		}
	}
	return nil
}

func readDocuments(directory string) (services []*docs.Service, err error) {
	files, err := filepath.Glob(filepath.Join(directory, "*.ini"))
	if err != nil {
		return nil, err
	}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			return nil, err
		}
		s, err := docs.Parse(file, text)
		if err != nil {
			return nil, err
		}
		services = append(services, s)
	}
	return services, nil
}

func readSettings(directory string) (nodes []*prefs.Settings, err error) {
	files, err := filepath.Glob(filepath.Join(directory, "*.ini"))
	if err != nil {
		return nil, err
	}
	if len(files) == 0 {
		return nil, errors.Newf("no settings in %s", directory)
	}
	for _, file := range files {
		n, err := prefs.Load(file)
		if err != nil {
			return nil, err
		}
		if want := strings.TrimSuffix(filepath.Base(file), ".ini"); n.Process.Name != want {
			return nil, errors.Newf("%s: the settings name the process %s", file, n.Process.Name)
		}
		nodes = append(nodes, n)
	}
	return nodes, nil
}
