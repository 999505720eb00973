package verbs

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"

	"mangowinch/internal/conf/certs"
	"mangowinch/internal/conf/prefs"
)

// Names of the files that certify writes.
const (
	certificateFile = "certificate.pem"
	privateFile     = "private.pem"
	keySuffix       = ".key"
)

// CertifyCmd generates a certificate and keys for demonstrations.
type CertifyCmd struct {
	Directory string        `required:"" type:"path" help:"Where the files go; it must exist."`
	Addresses []net.IP      `name:"address" required:"" help:"IP numbers of the services; may be given several times."`
	Names     []string      `name:"name" help:"Host names of the services besides."`
	Keys      []string      `name:"key" default:"k1" help:"Names of keys for connection IDs; may be given several times."`
	Valid     time.Duration `default:"24h" help:"How long the certificate is valid."`
}

// Help returns the text that the command's --help shows below the usage line.
func (*CertifyCmd) Help() string {
	return `Writes certificate.pem, private.pem and NAME.key for each key. The certificate vouches for itself: a caller
has to be given certificate.pem (call --ca). Files that are there already are left alone and end the verb.

Exit codes: 0 made; 2 a file is there already or cannot be written.`
}

// Run generates and writes the files.
func (c *CertifyCmd) Run(o *console) (err error) {
	defer func() { err = withExitCode(exitUsage, errors.Wrap(err, "certify")) }()

	certificate, private, err := certs.SelfSigned(c.Addresses, c.Names, time.Now(), c.Valid)
	if err != nil {
		return err
	}
	files := []outputFile{{certificateFile, certificate}, {privateFile, private}}
	for _, name := range c.Keys {
		var key prefs.Key
		_, _ = rand.Read(key[:]) // never fails
		files = append(files, outputFile{name + keySuffix, []byte(hex.EncodeToString(key[:]) + "\n")})
	}
	for _, f := range files {
		if err := writeNew(filepath.Join(c.Directory, f.name), f.text); err != nil {
			return err
		}
		fmt.Fprintln(o.out, filepath.Join(c.Directory, f.name))
	}
	return nil
}

type outputFile struct {
	name string
	text []byte
}

// writeNew writes a file that only its owner may read. It fails if the file exists.
func writeNew(path string, text []byte) (err error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { err = errors.CombineErrors(err, f.Close()) }()
	_, err = f.Write(text)
	return err
}
