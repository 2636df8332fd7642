// Package certifier issues and loads the certificates with which nodes
// authenticate each other.
//
// A fleet has one certificate authority (CA). The certificate of a VM has the
// VM's id as its only DNS name. A node accepts connections only from peers with a
// certificate issued by the CA, and on outgoing connections also verifies that
// the certificate is that of the VM it connects to.
//
// # Usage
//
//	authority, err := certifier.NewAuthority(time.Now(), validity)
//	certificate, key, err := authority.Issue("ba-petrzalka-licensing-1", time.Now(), validity)
//	config, err := certifier.Load(certificateFile, keyFile, authorityFile)
package certifier

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"os"
	"time"

	"github.com/pkg/errors"
)

const (
	certificateBlock = "CERTIFICATE"
	keyBlock         = "PRIVATE KEY"
	serialBits       = 128
	// backdate is subtracted from the start of validity, so that VMs whose clock
	// is behind accept new certificates.
	backdate = time.Hour
)

// An Authority is a certificate authority that issues the certificates of one
// fleet.
type Authority struct {
	// PEM is the authority's own certificate in PEM format.
	PEM []byte

	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// NewAuthority generates the key and the self-signed certificate of an
// authority, which expires at now+validity.
func NewAuthority(now time.Time, validity time.Duration) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("generate authority key: %w", err)
	}
	template, err := newTemplate("apricotrudder authority", now, validity)
	if err != nil {
		return nil, err
	}
	template.IsCA = true
	template.KeyUsage = x509.KeyUsageCertSign
	template.BasicConstraintsValid = true
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return nil, fmt.Errorf("create authority certificate: %w", err)
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, fmt.Errorf("parse authority certificate: %w", err)
	}
	return &Authority{PEM: encodePEM(certificateBlock, der), certificate: certificate, key: key}, nil
}

// Issue generates a key and a certificate for a VM and returns both in PEM
// format. The certificate expires at now+validity.
func (a *Authority) Issue(vm string, now time.Time, validity time.Duration) (certificate, key []byte, err error) {
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, fmt.Errorf("generate key of %s: %w", vm, err)
	}
	template, err := newTemplate(vm, now, validity)
	if err != nil {
		return nil, nil, err
	}
	template.DNSNames = []string{vm}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, private.Public(), a.key)
	if err != nil {
		return nil, nil, fmt.Errorf("create certificate of %s: %w", vm, err)
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(private)
	if err != nil {
		return nil, nil, fmt.Errorf("encode key of %s: %w", vm, err)
	}
	return encodePEM(certificateBlock, der), encodePEM(keyBlock, keyDER), nil
}

// Load returns the TLS configuration of a node from its certificate, its key and
// the authority's certificate in PEM files.
func Load(certificateFile, keyFile, authorityFile string) (*tls.Config, error) {
	certificate, err := os.ReadFile(certificateFile)
	if err != nil {
		return nil, fmt.Errorf("read certificate: %w", err)
	}
	key, err := os.ReadFile(keyFile)
	if err != nil {
		return nil, fmt.Errorf("read key: %w", err)
	}
	authority, err := os.ReadFile(authorityFile)
	if err != nil {
		return nil, fmt.Errorf("read authority certificate: %w", err)
	}
	return Parse(certificate, key, authority)
}

// Parse returns the TLS configuration of a node, for use both as client and as
// server, from PEM data.
func Parse(certificate, key, authority []byte) (*tls.Config, error) {
	pair, err := tls.X509KeyPair(certificate, key)
	if err != nil {
		return nil, fmt.Errorf("parse certificate and key: %w", err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(authority) {
		return nil, errors.New("parse authority certificate: got no certificate, want one in PEM format")
	}
	return &tls.Config{
		Certificates: []tls.Certificate{pair},
		RootCAs:      roots,
		ClientCAs:    roots,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		MinVersion:   tls.VersionTLS13,
	}, nil
}

func newTemplate(name string, now time.Time, validity time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, fmt.Errorf("generate serial number: %w", err)
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-backdate),
		NotAfter:     now.Add(validity),
	}, nil
}

func encodePEM(block string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: block, Bytes: der})
}
