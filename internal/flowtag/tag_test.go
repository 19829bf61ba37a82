package flowtag

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/fireflypin/fireflypin/model"
)

func target(name string, startedAt int64) *model.Target {
	t := &model.Target{ID: model.TargetIDOf(name), Name: name}
	if startedAt > 0 {
		t.StartedAt = time.UnixMilli(startedAt)
	}
	return t
}

// collidingNames returns pairs of names whose first tags are equal.
func collidingNames(want int) [][2]string {
	seen := make(map[Tag]string)
	var pairs [][2]string
	for i := 0; len(pairs) < want; i++ {
		name := fmt.Sprintf("i-%08x", uint32(i)*2654435761)
		tag := candidateTags(name)[0]
		if other, taken := seen[tag]; taken {
			pairs = append(pairs, [2]string{other, name})
		}
		seen[tag] = name
	}
	return pairs
}

func TestTags(t *testing.T) {
	Convey("A tag carries the version and is never None", t, func() {
		for i := range 1000 {
			for _, tag := range candidateTags(fmt.Sprint("i-", i)) {
				So(tag, ShouldNotEqual, None)
				So(tag.Version(), ShouldEqual, Version)
			}
		}
	})
	Convey("Published and previous targets are found by their tags, others are not", t, func() {
		a, previous := target("i-a", 1), target("i-gone", 1)
		table := NewTable([]*model.Target{a}, []*model.Target{previous})
		So(table.Target(table.Tag(a.ID)), ShouldEqual, a)
		So(table.Target(candidateTags("i-gone")[0]), ShouldEqual, previous)
		So(table.Tag(previous.ID), ShouldEqual, None)
		So(table.Target(candidateTags("i-b")[0]), ShouldBeNil)
		So(table.Target(2<<versionShift|candidateTags("i-a")[0]&hashMask), ShouldBeNil)
		So(table.Target(None), ShouldBeNil)
	})
	Convey("A target that restarts under its name keeps its tag", t, func() {
		before := NewTable([]*model.Target{target("i-a", 1)}, nil)
		after := NewTable([]*model.Target{target("i-a", 9)}, nil)
		id := model.TargetIDOf("i-a")
		So(after.Tag(id), ShouldEqual, before.Tag(id))
	})
}

func TestCollisions(t *testing.T) {
	Convey("Of two targets that claim one tag, the older holds it and the younger gets another one", t, func() {
		for _, pair := range collidingNames(20) {
			for _, c := range []struct {
				name         string
				first, other int64
				holder       string
			}{
				{"the first is older", 1, 2, pair[0]},
				{"the second is older", 2, 1, pair[1]},
				{"the age of the first is unknown", 0, 1, pair[1]},
				{"the age of the second is unknown", 1, 0, pair[0]},
			} {
				a, b := target(pair[0], c.first), target(pair[1], c.other)
				table := NewTable([]*model.Target{a, b}, nil)
				reversed := NewTable([]*model.Target{b, a}, nil)
				shared := candidateTags(pair[0])[0]
				So(table.Target(shared).Name, ShouldEqual, c.holder)
				So(reversed.Target(shared).Name, ShouldEqual, c.holder)
				So(table.Tag(a.ID), ShouldNotEqual, table.Tag(b.ID))
				So(table.Target(table.Tag(a.ID)), ShouldEqual, a)
				So(table.Target(table.Tag(b.ID)), ShouldEqual, b)
				So(reversed.Tag(a.ID), ShouldEqual, table.Tag(a.ID))
			}
		}
	})
	Convey("The orders of two targets decide together whose the tag is", t, func() {
		pair := collidingNames(1)[0]
		shared := candidateTags(pair[0])[0]
		for _, c := range []struct {
			name string
			// learned, created and started are 1 if the first target precedes the second one, -1 if it follows it and 0 if
			// their order is unknown.
			learned, created, started int
			holder                    string
		}{
			{"all agree", 1, 1, 1, pair[0]},
			{"the clock of the second is behind", 1, 1, -1, pair[0]},
			{"the registration of the first lapsed", 1, -1, 1, pair[0]},
			{"both", 1, -1, -1, ""},
			{"only the daemon's own order is known", 1, 0, 0, pair[0]},
			{"learned of together", 0, 1, 1, pair[0]},
			{"learned of together, the clock of the second is behind", 0, 1, -1, ""},
			{"learned of together, the registration of the first lapsed", 0, -1, 1, ""},
			{"only the order of registrations is known", 0, 1, 0, ""},
			{"nothing is known", 0, 0, 0, ""},
			{"only the order of starts is known", 0, 0, -1, pair[1]},
		} {
			a, b := target(pair[0], 0), target(pair[1], 0)
			order := func(o int, first, second *uint64) {
				if o != 0 {
					*first, *second = uint64(10-o), uint64(10+o)
				}
			}
			order(c.learned, &a.FirstLists, &b.FirstLists)
			order(c.created, &a.Created, &b.Created)
			if c.started != 0 {
				a.StartedAt, b.StartedAt = time.Unix(int64(10-c.started), 0), time.Unix(int64(10+c.started), 0)
			}
			for _, targets := range [][]*model.Target{{a, b}, {b, a}} {
				table := NewTable(targets, nil)
				holder := ""
				if h := table.Target(shared); h != nil {
					holder = h.Name
				}
				SoMsg(c.name, holder, ShouldEqual, c.holder)
				So(table.Target(table.Tag(a.ID)), ShouldEqual, a)
				So(table.Target(table.Tag(b.ID)), ShouldEqual, b)
			}
		}
	})
	Convey("A new target does not take over the flows of a previous one", t, func() {
		pair := collidingNames(1)[0]
		previous, added := target(pair[0], 1), target(pair[1], 2)
		table := NewTable([]*model.Target{added}, []*model.Target{previous})
		So(table.Target(candidateTags(pair[0])[0]), ShouldEqual, previous)
		So(table.Tag(added.ID), ShouldEqual, candidateTags(pair[1])[1])
	})
}
