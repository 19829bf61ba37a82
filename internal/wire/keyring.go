package wire

import (
	"bytes"
	"encoding/base64"
	"errors"
	"fmt"
	"os"
	"sync/atomic"

	"github.com/goccy/go-yaml"
)

// MinSecretBytes is the minimum length of a key's secret.
const MinSecretBytes = 32

// MaxKeys is the maximum number of keys that are valid at the same time.
const MaxKeys = 2

// Key is a secret shared by all daemons.
type Key struct {
	// ID identifies the key in datagrams. Keys that are valid at the same time have different ids.
	ID uint8
	// Secret has at least MinSecretBytes bytes.
	Secret []byte
}

// Keyring is a set of valid keys. It is immutable.
type Keyring struct {
	keys   []Key
	active int
}

// NewKeyring returns a keyring that seals with the key whose id is active and opens with any of keys. The
// error joins all faults found.
func NewKeyring(active uint8, keys ...Key) (*Keyring, error) {
	var errs []error
	if len(keys) == 0 || len(keys) > MaxKeys {
		errs = append(errs, fmt.Errorf("keyring has %d keys, want 1 to %d", len(keys), MaxKeys))
	}
	index := -1
	for i, k := range keys {
		if len(k.Secret) < MinSecretBytes {
			errs = append(errs, fmt.Errorf("secret of key %d has %d bytes, want at least %d", k.ID, len(k.Secret), MinSecretBytes))
		}
		if k.ID == active {
			index = i
		}
	}
	if index < 0 {
		errs = append(errs, fmt.Errorf("active key %d is not among the keys", active))
	}
	errs = append(errs, duplicateKeys(keys)...)
	if len(errs) > 0 {
		return nil, errors.Join(errs...)
	}
	return &Keyring{keys: keys, active: index}, nil
}

func duplicateKeys(keys []Key) []error {
	var errs []error
	for i, a := range keys {
		for _, b := range keys[:i] {
			if a.ID == b.ID {
				errs = append(errs, fmt.Errorf("two keys have the id %d", a.ID))
			}
			if bytes.Equal(a.Secret, b.Secret) {
				errs = append(errs, fmt.Errorf("keys %d and %d have the same secret", b.ID, a.ID))
			}
		}
	}
	return errs
}

// Active returns the id of the key that new datagrams are sealed with.
func (r *Keyring) Active() uint8 {
	return r.keys[r.active].ID
}

// keyFile is the YAML format of a key file.
type keyFile struct {
	Active uint8          `yaml:"active"`
	Keys   []keyFileEntry `yaml:"keys"`
}

type keyFileEntry struct {
	ID     uint8  `yaml:"id"`
	Secret string `yaml:"secret"`
}

// LoadKeyring reads a keyring from key files. A key file is YAML with the id of the active key and one or
// two keys, each with an id and a secret in standard base64. With several files, the keyring holds the keys
// of all files, and the first file determines the active key.
func LoadKeyring(paths ...string) (*Keyring, error) {
	var keys []Key
	var active uint8
	for i, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			return nil, fmt.Errorf("read key file: %w", err)
		}
		file, fileKeys, err := parseKeys(data)
		if err != nil {
			return nil, fmt.Errorf("key file %s: %w", path, err)
		}
		if i == 0 {
			active = file.Active
		}
		keys = append(keys, fileKeys...)
	}
	ring, err := NewKeyring(active, keys...)
	if err != nil {
		return nil, fmt.Errorf("key files %v: %w", paths, err)
	}
	return ring, nil
}

// parseKeys decodes the content of a key file. Its errors never contain a secret.
func parseKeys(data []byte) (keyFile, []Key, error) {
	var file keyFile
	if err := yaml.UnmarshalWithOptions(data, &file, yaml.Strict()); err != nil {
		return file, nil, errors.New("parse keys: " + yaml.FormatError(err, false, false))
	}
	keys := make([]Key, 0, len(file.Keys))
	for _, entry := range file.Keys {
		secret, err := base64.StdEncoding.DecodeString(entry.Secret)
		if err != nil {
			return file, nil, fmt.Errorf("decode secret of key %d: not standard base64", entry.ID)
		}
		keys = append(keys, Key{ID: entry.ID, Secret: secret})
	}
	return file, keys, nil
}

// wellKnownSecret is the well-known key of daemons that run without key files, either on loopback only or on a
// network without other traffic.
const wellKnownSecret = "fireflypin daemons on loopback only"

// LoadKeyringOrDefault loads the keyring from the key files at paths. Without paths it returns a keyring with the
// well-known key, which is not secret.
func LoadKeyringOrDefault(paths []string) (*Keyring, error) {
	if len(paths) > 0 {
		ring, err := LoadKeyring(paths...)
		if err != nil {
			return nil, fmt.Errorf("load keys: %w", err)
		}
		return ring, nil
	}
	ring, err := NewKeyring(0, Key{ID: 0, Secret: []byte(wellKnownSecret)})
	if err != nil {
		return nil, fmt.Errorf("create the keyring of the well-known key: %w", err)
	}
	return ring, nil
}

// KeyringProvider provides the current keyring. It is safe for concurrent use.
type KeyringProvider interface {
	Keyring() *Keyring
}

// KeyStore is a KeyringProvider whose keyring can be replaced while sealers and openers are in use.
type KeyStore struct {
	ring atomic.Pointer[Keyring]
}

// NewKeyStore returns a KeyStore with an initial keyring.
func NewKeyStore(ring *Keyring) *KeyStore {
	s := new(KeyStore)
	s.ring.Store(ring)
	return s
}

// Keyring returns the current keyring.
func (s *KeyStore) Keyring() *Keyring {
	return s.ring.Load()
}

// Replace sets the keyring used from the next datagram on.
func (s *KeyStore) Replace(ring *Keyring) {
	s.ring.Store(ring)
}
