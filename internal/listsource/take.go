package listsource

import (
	"fmt"

	"github.com/fireflypin/fireflypin/errkind"
	"github.com/fireflypin/fireflypin/internal/lists"
)

// take processes a document from any source. All documents pass through it.
func (r *Reader) take(kind lists.Kind, revision uint64, text lists.Document, source Source) (outcome, []Action) {
	result, why, err := r.store.take(kind, revision, text)
	switch {
	case result != outcomeRefused || err == nil:
		return result, nil
	case why == errkind.DocumentInvalid:
		return result, r.sayInvalid(kind, r.store.refused[kind].Revision, source, err)
	}
	return result, r.sayStale(kind, revision, source, err)
}

// refuseBelowWanted rejects a document from a platform replica that lags behind the revision reported by the
// platform.
func (r *Reader) refuseBelowWanted(kind lists.Kind, revision uint64) []Action {
	err := fmt.Errorf("%s (%s): revision %d is older than revision %d, which the platform reported before",
		kind, SourcePlatform, revision, r.link.wanted[kind])
	return r.sayStale(kind, revision, SourcePlatform, err)
}

func (r *Reader) sayInvalid(kind lists.Kind, revision uint64, source Source, err error) []Action {
	if revision != 0 && r.said.invalid[kind] == revision {
		return nil
	}
	r.said.invalid[kind] = revision
	return []Action{Refused{Kind: errkind.DocumentInvalid, List: kind, Revision: revision, Source: source, Err: err}}
}

func (r *Reader) sayStale(kind lists.Kind, revision uint64, source Source, err error) []Action {
	if r.said.stale[kind] == revision {
		return nil
	}
	r.said.stale[kind] = revision
	return []Action{Refused{Kind: errkind.DocumentStale, List: kind, Revision: revision, Source: source, Err: err}}
}

// document returns a lists.Document for a body without a file name. Its name is made of the kind and the
// source.
func document(kind lists.Kind, body []byte, source Source) lists.Document {
	return lists.Document{Name: fmt.Sprintf("%s (%s)", kind, source), Data: body}
}
