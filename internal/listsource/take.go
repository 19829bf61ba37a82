package listsource

import (
	"fmt"

	"github.com/fireflypin/fireflypin/errkind"
	"github.com/fireflypin/fireflypin/internal/lists"
)

// take is the only way in for a text, whatever its source.
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

// refuseBelowWanted refuses the text of a replica that lags behind what the platform has shown.
func (r *Reader) refuseBelowWanted(kind lists.Kind, revision uint64) []Action {
	err := fmt.Errorf("%s (%s): revision %d is below revision %d, which the platform has shown",
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

// document names a text that came without a file name.
func document(kind lists.Kind, body []byte, source Source) lists.Document {
	return lists.Document{Name: fmt.Sprintf("%s (%s)", kind, source), Data: body}
}
