package verbs

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/hex"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"

	"mangowinch/internal/conf/prefs"
)

// Names of the files that certify makes.
const (
	certificateFile = "certificate.pem"
	privateFile     = "private.pem"
	keySuffix       = ".key"
)

// CertifyCmd makes key material for a demonstration.
type CertifyCmd struct {
	Directory string        `required:"" type:"path" help:"Where the files go; it must exist."`
	Addresses []net.IP      `name:"address" required:"" help:"IP numbers of the services; may be given several times."`
	Names     []string      `name:"name" help:"Host names of the services besides."`
	Keys      []string      `name:"key" default:"k1" help:"Names of keys for connection IDs; may be given several times."`
	Valid     time.Duration `default:"24h" help:"How long the certificate is valid."`
}

// Help is shown under the verb's own --help.
func (*CertifyCmd) Help() string {
	return `Writes certificate.pem, private.pem and NAME.key for each key. The certificate vouches for itself: a caller
has to be given certificate.pem (call --ca). Files that are there already are left alone and end the verb.

Exit codes: 0 made; 2 a file is there already or cannot be written.`
}

// Run makes the files.
func (c *CertifyCmd) Run(o *console) (err error) {
	defer func() { err = fail(exitUse, errors.Wrap(err, "certify")) }()

	certificate, private, err := selfSigned(c.Addresses, c.Names, time.Now(), c.Valid)
	if err != nil {
		return err
	}
	files := []keyFile{{certificateFile, certificate}, {privateFile, private}}
	for _, name := range c.Keys {
		var key prefs.Key
		_, _ = rand.Read(key[:]) // never fails
		files = append(files, keyFile{name + keySuffix, []byte(hex.EncodeToString(key[:]) + "\n")})
	}
	for _, f := range files {
		if err := writeNew(filepath.Join(c.Directory, f.name), f.text); err != nil {
			return err
		}
		fmt.Fprintln(o.out, filepath.Join(c.Directory, f.name))
	}
	return nil
}

type keyFile struct {
	name string
	text []byte
}

// selfSigned returns a certificate that vouches for itself, and its private key, in PEM.
func selfSigned(addresses []net.IP, names []string, now time.Time, valid time.Duration) (certificate, private []byte, err error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, err
	}
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(now.UnixNano()),
		Subject:               pkix.Name{CommonName: "mangowinch demonstration"},
		NotBefore:             now.Add(-time.Hour), // for clocks that lag
		NotAfter:              now.Add(valid),
		KeyUsage:              x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage:           []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
		BasicConstraintsValid: true,
		IsCA:                  true,
		IPAddresses:           addresses,
		DNSNames:              names,
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return nil, nil, err
	}
	rawKey, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return nil, nil, err
	}
	certificate = pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: raw})
	private = pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: rawKey})
	return certificate, private, nil
}

// writeNew writes a file that only its owner may read and that is not there yet.
func writeNew(path string, text []byte) (err error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { err = errors.CombineErrors(err, f.Close()) }()
	_, err = f.Write(text)
	return err
}
