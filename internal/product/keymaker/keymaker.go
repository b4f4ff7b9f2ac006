// Package keymaker makes a certificate authority, certificates and tokens for a
// try-out.
//
//	authority, err := keymaker.NewAuthority("daisyhead try-out")
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

// Validity of what is made.
const (
	authorityYears   = 5
	certificateYears = 1
	backdate         = time.Hour
)

// Pair is a certificate and its private key, both PEM.
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

// NewAuthority makes a certificate authority.
func NewAuthority(name string) (a *Authority, err error) {
	defer annotate(&err, "make authority")
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

// LoadAuthority reads what Write wrote as name in dir.
func LoadAuthority(dir, name string) (a *Authority, err error) {
	defer annotate(&err, "load authority")
	pair, err := tls.LoadX509KeyPair(filepath.Join(dir, name+".crt"), filepath.Join(dir, name+".key"))
	if err != nil {
		return nil, err
	}
	key, ok := pair.PrivateKey.(*ecdsa.PrivateKey)
	if !ok {
		return nil, errors.New("the authority's key is not an ECDSA key")
	}
	return &Authority{certificate: pair.Leaf, key: key}, nil
}

// Certificate makes a certificate for an instance, for both ends of a connection.
func (a *Authority) Certificate(name string, addresses []string) (pair Pair, err error) {
	defer annotate(&err, "make certificate")
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
		NotBefore: now.Add(-backdate), NotAfter: now.AddDate(years, 0, 0),
	}, nil
}

func sign(template, parent *x509.Certificate, key, signer *ecdsa.PrivateKey) (Pair, error) {
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	if err != nil {
		return Pair{}, err
	}
	private, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return Pair{}, err
	}
	return Pair{
		Certificate: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}),
		Key:         pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: private}),
	}, nil
}

// Write stores the pair as NAME.crt and NAME.key in dir. It overwrites nothing.
func (p Pair) Write(dir, name string) (err error) {
	defer annotate(&err, "write keys")
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	if err := writeNew(filepath.Join(dir, name+".crt"), p.Certificate, 0o644); err != nil {
		return err
	}
	return writeNew(filepath.Join(dir, name+".key"), p.Key, 0o600)
}

func writeNew(file string, data []byte, mode os.FileMode) (err error) {
	f, err := os.OpenFile(file, os.O_WRONLY|os.O_CREATE|os.O_EXCL, mode)
	if err != nil {
		return err
	}
	defer func() { err = errors.CombineErrors(err, f.Close()) }()
	_, err = f.Write(data)
	return err
}

// TLS returns the settings for mutual TLS between instances.
func TLS(pair Pair, authority []byte) (cfg *tls.Config, err error) {
	defer annotate(&err, "load keys")
	certificate, err := tls.X509KeyPair(pair.Certificate, pair.Key)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return nil, errors.New("the authority file holds no certificate")
	}
	return &tls.Config{Certificates: []tls.Certificate{certificate}, RootCAs: pool, ClientCAs: pool, MinVersion: tls.VersionTLS13}, nil
}

// Token is a bearer token and the form in which it stands in the settings.
type Token struct {
	Token string
	Hash  string
}

// NewToken returns a random bearer token.
func NewToken() (t Token, err error) {
	raw := make([]byte, 24)
	if _, err := rand.Read(raw); err != nil {
		return Token{}, err
	}
	token := hex.EncodeToString(raw)
	return Token{Token: token, Hash: authenticator.Hash(token)}, nil
}

func annotate(err *error, action string) {
	if *err != nil {
		*err = errors.Wrap(*err, action)
	}
}
