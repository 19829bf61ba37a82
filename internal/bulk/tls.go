package bulk

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
)

// TLSFiles contains the paths of the PEM files for mutual TLS between daemons.
type TLSFiles struct {
	Cert, Key, CA string
}

// TLSConfig returns the TLS config of calls between daemons, or nil if f names no certificate.
func TLSConfig(f TLSFiles) (*tls.Config, error) {
	if f.Cert == "" {
		return nil, nil
	}
	return LoadTLS(f)
}

// LoadTLS returns a config for clients and servers. Each side must present a certificate issued by the
// daemons' certificate authority. The name in the certificate is not compared with the address because
// daemons call each other by IP addresses, which change.
func LoadTLS(f TLSFiles) (*tls.Config, error) {
	cert, err := tls.LoadX509KeyPair(f.Cert, f.Key)
	if err != nil {
		return nil, fmt.Errorf("load TLS certificate %s: %w", f.Cert, err)
	}
	pem, err := os.ReadFile(f.CA)
	if err != nil {
		return nil, fmt.Errorf("load CA certificates: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("load CA certificates %s: file contains no PEM certificate", f.CA)
	}
	return newTLSConfig(cert, pool), nil
}

func newTLSConfig(cert tls.Certificate, pool *x509.CertPool) *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{cert},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    pool,
		// VerifyConnection verifies the chain; only the host name comparison is omitted.
		InsecureSkipVerify: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			return verifyChain(state, pool)
		},
	}
}

// verifyChain checks that the peer's certificate was issued by the certificate authority and has not expired.
func verifyChain(state tls.ConnectionState, pool *x509.CertPool) error {
	if len(state.PeerCertificates) == 0 {
		return fmt.Errorf("verify peer: no certificate presented")
	}
	intermediates := x509.NewCertPool()
	for _, c := range state.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         pool,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	return err
}
