// Package keymaker creates a certificate authority, certificates and tokens for
// trial setups and tests.
//
//	authority, err := keymaker.NewAuthority("daisyhead trial")
//	pair, err := authority.Certificate("entry-1", []string{"127.0.0.1"})
package keymaker

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/hex"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"

	"daisyhead/internal/entry/authenticator"
)

// Validity periods.
const (
	authorityYears   = 5
	certificateYears = 1
	// clockSkewAllowance is how far in the past validity begins, for machines whose
	// clocks are behind.
	clockSkewAllowance = time.Hour
)

// Pair is a certificate and its private key, both in PEM.
type Pair struct {
	Certificate []byte
	Key         []byte
}

// Authority signs certificates.
type Authority struct {
	Pair
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// NewAuthority creates a certificate authority with a self-signed certificate.
func NewAuthority(name string) (a *Authority, err error) {
	defer wrapError(&err, "create certificate authority")
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	template, err := newTemplate(name, authorityYears)
	if err != nil {
		return nil, err
	}
	template.IsCA, template.BasicConstraintsValid = true, true
	template.KeyUsage = x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature
	pair, err := sign(template, template, key, key)
	if err != nil {
		return nil, err
	}
	return &Authority{Pair: pair, certificate: template, key: key}, nil
}

// LoadAuthority loads an authority that was stored with Write(dir, name). Its Pair
// is empty.
func LoadAuthority(dir, name string) (a *Authority, err error) {
	defer wrapError(&err, "load certificate authority")
	pair, err := tls.LoadX509KeyPair(filepath.Join(dir, name+".crt"), filepath.Join(dir, name+".key"))
	if err != nil {
		return nil, err
	}
	key, ok := pair.PrivateKey.(*ecdsa.PrivateKey)
	if !ok {
		return nil, errors.New("the private key of the authority is not an ECDSA key")
	}
	return &Authority{certificate: pair.Leaf, key: key}, nil
}

// Certificate issues a certificate for an instance, valid for TLS servers and
// clients. addresses are IP addresses.
func (a *Authority) Certificate(name string, addresses []string) (pair Pair, err error) {
	defer wrapError(&err, "create certificate")
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Pair{}, err
	}
	template, err := newTemplate(name, certificateYears)
	if err != nil {
		return Pair{}, err
	}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	template.DNSNames = []string{name}
	for _, address := range addresses {
		ip := net.ParseIP(address)
		if ip == nil {
			return Pair{}, errors.Newf("%q is not an IP address", address)
		}
		template.IPAddresses = append(template.IPAddresses, ip)
	}
	return sign(template, a.certificate, key, a.key)
}

// newTemplate returns what all certificates have in common: a random serial number,
// the name and the validity.
func newTemplate(name string, years int) (*x509.Certificate, error) {
	if name == "" {
		return nil, errors.New("the name is empty")
	}
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120))
	if err != nil {
		return nil, err
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial, Subject: pkix.Name{CommonName: name},
		NotBefore: now.Add(-clockSkewAllowance), NotAfter: now.AddDate(years, 0, 0),
	}, nil
}

// sign creates a certificate for key from the template, signed by the parent with
// the key signer, and returns both in PEM.
func sign(template, parent *x509.Certificate, key, signer *ecdsa.PrivateKey) (Pair, error) {
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	if err != nil {
		return Pair{}, err
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return Pair{}, err
	}
	return Pair{
		Certificate: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}),
		Key:         pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: keyDER}),
	}, nil
}

// Write stores the pair as name.crt and name.key in dir. It fails if one of the
// files exists already.
func (p Pair) Write(dir, name string) (err error) {
	defer wrapError(&err, "write certificate and key")
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	if err := writeNewFile(filepath.Join(dir, name+".crt"), p.Certificate, 0o644); err != nil {
		return err
	}
	return writeNewFile(filepath.Join(dir, name+".key"), p.Key, 0o600)
}

// writeNewFile writes a file and fails if it exists already.
func writeNewFile(file string, data []byte, mode os.FileMode) (err error) {
	f, err := os.OpenFile(file, os.O_WRONLY|os.O_CREATE|os.O_EXCL, mode)
	if err != nil {
		return err
	}
	defer func() { err = errors.CombineErrors(err, f.Close()) }()
	_, err = f.Write(data)
	return err
}

// TLS returns the configuration for mutual TLS between instances. authority is
// the PEM certificate of the authority that signs all instances' certificates.
func TLS(pair Pair, authority []byte) (cfg *tls.Config, err error) {
	defer wrapError(&err, "load certificate and key")
	certificate, err := tls.X509KeyPair(pair.Certificate, pair.Key)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return nil, errors.New("the authority file contains no certificate")
	}
	return &tls.Config{Certificates: []tls.Certificate{certificate}, RootCAs: pool, ClientCAs: pool, MinVersion: tls.VersionTLS13}, nil
}

// Token is a bearer token and its hash. The settings contain only the hash.
type Token struct {
	Token string
	Hash  string
}

// NewToken returns a random bearer token with its hash.
func NewToken() (t Token, err error) {
	raw := make([]byte, 24)
	if _, err := rand.Read(raw); err != nil {
		return Token{}, err
	}
	token := hex.EncodeToString(raw)
	return Token{Token: token, Hash: authenticator.Hash(token)}, nil
}

// wrapError prefixes an error, if there is one, with the action that failed. It is
// meant for defer.
func wrapError(err *error, action string) {
	if *err != nil {
		*err = errors.Wrap(*err, action)
	}
}
