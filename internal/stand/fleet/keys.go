package fleet

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/hex"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"

	"mangowinch/internal/conf/docs"
	"mangowinch/internal/conf/prefs"
)

const certificateLifetime = 7 * 24 * time.Hour

// makeKeys writes a certificate for all services (cert.pem, cert.key) and each key that the
// documents name (NAME.key). They are meant for this machine only.
func makeKeys(directory string, services []*docs.Service) (roots *x509.CertPool, err error) {
	defer func() { err = errors.Wrap(err, "make keys") }()
	names := map[string]bool{}
	for _, s := range services {
		names[s.Current] = true
		for _, name := range s.Former {
			names[name] = true
		}
	}
	for name := range names {
		var key [prefs.KeySize]byte
		if _, err := rand.Read(key[:]); err != nil {
			return nil, err
		}
		if err := write(directory, name+".key", []byte(hex.EncodeToString(key[:])+"\n")); err != nil {
			return nil, err
		}
	}
	return makeCertificate(directory, services)
}

func makeCertificate(directory string, services []*docs.Service) (roots *x509.CertPool, err error) {
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "mangowinch on loopback"},
		NotBefore:             time.Now().Add(-time.Hour),
		NotAfter:              time.Now().Add(certificateLifetime),
		KeyUsage:              x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage:           []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
		BasicConstraintsValid: true,
		IsCA:                  true, // self-signed, so that callers can use it as their root
	}
	for _, s := range services {
		template.DNSNames = append(template.DNSNames, s.Name)
		template.IPAddresses = append(template.IPAddresses, s.Address.Addr().AsSlice())
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, template, &private.PublicKey, private)
	if err != nil {
		return nil, err
	}
	secret, err := x509.MarshalPKCS8PrivateKey(private)
	if err != nil {
		return nil, err
	}
	certificate := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: raw})
	if err := write(directory, "cert.pem", certificate); err != nil {
		return nil, err
	}
	if err := write(directory, "cert.key", pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: secret})); err != nil {
		return nil, err
	}
	roots = x509.NewCertPool()
	roots.AppendCertsFromPEM(certificate)
	return roots, nil
}

func write(directory, name string, text []byte) error {
	return os.WriteFile(filepath.Join(directory, name), text, 0o600)
}
