package yamldoc

import (
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/token"
)

// MaxNameLength is the maximum length of a name in bytes.
const MaxNameLength = 63

// Item is one scalar in a list.
type Item struct {
	Line int // line of the document, counted from 1
	Text string

	r    *reader
	list *location
	i    int
}

// AddFinding reports an error in the item.
func (it *Item) AddFinding(format string, args ...any) {
	at := location{parent: it.list, index: it.i}
	it.r.addAt(it.Line, at.path(), format, args...)
}

// scalarText returns the text of a scalar as written in the document, or false for any other node.
func scalarText(n ast.Node) (string, bool) {
	switch n := n.(type) {
	case *ast.StringNode:
		return n.Value, true
	case *ast.IntegerNode, *ast.FloatNode, *ast.BoolNode:
		return n.GetToken().Value, true
	}
	return "", false
}

// scalar returns the text of a field, which must be a scalar. It returns false for a nil field and, after
// reporting an error, for any other value.
func (m *Map) scalar(f *field) (string, bool) {
	if f == nil {
		return "", false
	}
	s, ok := scalarText(f.value)
	if !ok {
		m.AddFinding(f.key, "must be a single value")
	}
	return s, ok
}

// Texts returns the scalars of the list under a key. If the key is absent, the result is empty, and an error
// is reported if required is set.
func (m *Map) Texts(key string, required bool) []Item {
	f := m.lookup(key)
	if f == nil {
		if required {
			m.require(key)
		}
		return nil
	}
	list := &location{parent: m.location, key: key}
	nodes := m.items(f)
	items := make([]Item, 0, len(nodes))
	for i, n := range nodes {
		it := Item{Line: m.r.lineOffset + lineOf(n), r: m.r, list: list, i: i}
		text, ok := scalarText(n)
		if !ok {
			it.AddFinding("must be a single value")
			continue
		}
		it.Text = text
		items = append(items, it)
	}
	return items
}

// Text returns an optional text, or the default if the key is absent.
func (m *Map) Text(key, defaultValue string) string {
	f := m.lookup(key)
	if f == nil {
		return defaultValue
	}
	s, _ := m.scalar(f)
	return s
}

// RequiredText returns a required text, which must not be empty.
func (m *Map) RequiredText(key string) string {
	s, ok := m.scalar(m.require(key))
	if ok && s == "" {
		m.AddFinding(key, "must not be empty")
	}
	return s
}

// Name returns a required name; see ValidName.
func (m *Map) Name(key string) string {
	s := m.RequiredText(key)
	if s != "" && !ValidName(s) {
		m.AddFinding(key, "%q is not a valid name: use up to %d letters, digits, '.', '_' and '-'", s, MaxNameLength)
	}
	return s
}

// ValidName reports whether s consists of 1 to MaxNameLength ASCII letters, digits, '.', '_' and '-'.
func ValidName(s string) bool {
	if s == "" || len(s) > MaxNameLength {
		return false
	}
	for i := range len(s) {
		c := s[i]
		letter := 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z'
		if !letter && (c < '0' || c > '9') && c != '.' && c != '_' && c != '-' {
			return false
		}
	}
	return true
}

// Choice returns the index in allowed of an optional text. If the key is absent, it returns 0.
func (m *Map) Choice(key string, allowed ...string) int {
	f := m.lookup(key)
	if f == nil {
		return 0
	}
	s, ok := m.scalar(f)
	if !ok {
		return 0
	}
	for i, a := range allowed {
		if s == a {
			return i
		}
	}
	m.AddFinding(key, "%q is not one of %s", s, strings.Join(allowed, ", "))
	return 0
}

// Uint returns an optional whole number from low to high, or the default if the key is absent.
func (m *Map) Uint(key string, defaultValue, low, high uint64) uint64 {
	f := m.lookup(key)
	if f == nil {
		return defaultValue
	}
	n, ok := m.parseUint(f)
	if !ok {
		return defaultValue
	}
	if n < low || n > high {
		m.AddFinding(key, "%d is out of range: %d to %d", n, low, high)
		return defaultValue
	}
	return n
}

// RequiredUint is Uint for a required key.
func (m *Map) RequiredUint(key string, low, high uint64) uint64 {
	if m.require(key) == nil {
		return 0
	}
	return m.Uint(key, 0, low, high)
}

// parseUint returns a field's value, which must be a decimal number of 0 or more.
func (m *Map) parseUint(f *field) (uint64, bool) {
	node, isInteger := f.value.(*ast.IntegerNode)
	if isInteger && node.GetToken().Type == token.IntegerType {
		if n, err := strconv.ParseUint(node.GetToken().Value, 10, 64); err == nil {
			return n, true
		}
	}
	if s, ok := m.scalar(f); ok {
		m.AddFinding(f.key, "%q is not a whole number of 0 or more without a unit", s)
	}
	return 0, false
}

// Fraction returns an optional number from 0 to 1, or the default if the key is absent.
func (m *Map) Fraction(key string, defaultValue float64) float64 {
	return m.Number(key, defaultValue, 0, 1)
}

// Number returns an optional number from low to high, or the default if the key is absent.
func (m *Map) Number(key string, defaultValue, low, high float64) float64 {
	f := m.lookup(key)
	if f == nil {
		return defaultValue
	}
	s, ok := m.scalar(f)
	if !ok {
		return defaultValue
	}
	v, err := strconv.ParseFloat(s, 64)
	if err != nil || !(v >= low && v <= high) {
		m.AddFinding(key, "%q is not a number between %v and %v", s, low, high)
		return defaultValue
	}
	return v
}

// Duration returns an optional duration from low to high, or the default if the key is absent. The value must
// have a unit.
func (m *Map) Duration(key string, defaultValue, low, high time.Duration) time.Duration {
	f := m.lookup(key)
	if f == nil {
		return defaultValue
	}
	s, ok := m.scalar(f)
	if !ok {
		return defaultValue
	}
	if _, err := strconv.ParseFloat(s, 64); err == nil {
		m.AddFinding(key, "%q has no unit; write for example %q", s, s+"s")
		return defaultValue
	}
	d, err := time.ParseDuration(s)
	if err != nil {
		m.AddFinding(key, "%q is not a duration; write for example \"30s\" or \"250ms\"", s)
		return defaultValue
	}
	if d < low || d > high {
		m.AddFinding(key, "%s is out of range: %s to %s", d, low, high)
		return defaultValue
	}
	return d
}

// Time returns an optional time in RFC 3339 format, or the zero time if the key is absent.
func (m *Map) Time(key string) time.Time {
	f := m.lookup(key)
	if f == nil {
		return time.Time{}
	}
	s, ok := m.scalar(f)
	if !ok {
		return time.Time{}
	}
	t, err := time.Parse(time.RFC3339, s)
	if err != nil {
		m.AddFinding(key, "%q is not a time; write for example \"2026-01-31T22:00:00Z\"", s)
	}
	return t
}

// Address returns an optional IP address with port, or the zero value if the key is absent.
func (m *Map) Address(key string) netip.AddrPort {
	f := m.lookup(key)
	if f == nil {
		return netip.AddrPort{}
	}
	s, ok := m.scalar(f)
	if !ok {
		return netip.AddrPort{}
	}
	a, problem := ParseAddress(s)
	if problem != "" {
		m.AddFinding(key, "%s", problem)
	}
	return a
}

// RequiredAddress is Address for a required key.
func (m *Map) RequiredAddress(key string) netip.AddrPort {
	if m.require(key) == nil {
		return netip.AddrPort{}
	}
	return m.Address(key)
}

// ParseAddress parses an IP address with a port from 1 to 65535. The second result is an error message, or "".
func ParseAddress(s string) (netip.AddrPort, string) {
	a, err := netip.ParseAddrPort(s)
	switch {
	case err != nil:
		return netip.AddrPort{}, strconv.Quote(s) + " is no address with a port; write for example \"192.0.2.10:443\" or \"[2001:db8::1]:443\""
	case a.Port() == 0:
		return netip.AddrPort{}, strconv.Quote(s) + " has port 0"
	case a.Addr().Is4In6(), a.Addr().Zone() != "":
		return netip.AddrPort{}, strconv.Quote(s) + " must be a plain IPv4 or IPv6 address"
	}
	return a, ""
}

// ParsePrefix parses an IP prefix whose host bits are zero. The second result is an error message, or "".
func ParsePrefix(s string) (netip.Prefix, string) {
	p, err := netip.ParsePrefix(s)
	switch {
	case err != nil:
		return netip.Prefix{}, strconv.Quote(s) + " is not a prefix; write for example \"192.0.2.0/24\""
	case p.Addr().Is4In6():
		return netip.Prefix{}, strconv.Quote(s) + " must be a plain IPv4 or IPv6 prefix"
	case p != p.Masked():
		return netip.Prefix{}, strconv.Quote(s) + " has host bits; write " + strconv.Quote(p.Masked().String())
	}
	return p, ""
}
