package bulk

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
)

// TLSFiles names the files that authenticate calls between daemons, in PEM form.
type TLSFiles struct {
	Cert, Key, CA string
}

// TLSConfig loads the files of calls between daemons; nil where no certificate is named.
func TLSConfig(f TLSFiles) (*tls.Config, error) {
	if f.Cert == "" {
		return nil, nil
	}
	return LoadTLS(f)
}

// LoadTLS returns a config for both sides of a call: each side must show a certificate of the daemons'
// authority. The name in the certificate is not compared with the address, since daemons call each other
// by IP numbers that change.
func LoadTLS(f TLSFiles) (*tls.Config, error) {
	cert, err := tls.LoadX509KeyPair(f.Cert, f.Key)
	if err != nil {
		return nil, fmt.Errorf("load the certificate %s: %w", f.Cert, err)
	}
	pem, err := os.ReadFile(f.CA)
	if err != nil {
		return nil, fmt.Errorf("load the authority: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("load the authority %s: no certificate in it", f.CA)
	}
	return configOf(cert, pool), nil
}

func configOf(cert tls.Certificate, pool *x509.CertPool) *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{cert},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    pool,
		// The chain is verified below; only the comparison of the host name is left out.
		InsecureSkipVerify: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			return verifyChain(state, pool)
		},
	}
}

// verifyChain checks that the peer's certificate was signed by the authority and is in date.
func verifyChain(state tls.ConnectionState, pool *x509.CertPool) error {
	if len(state.PeerCertificates) == 0 {
		return fmt.Errorf("verify a peer: it shows no certificate")
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
