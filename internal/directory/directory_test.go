package directory

import (
	"fmt"
	"testing"

	"chuteweir.example/chuteweir/internal/settings"
	"chuteweir.example/chuteweir/rules"
)

func member(id, phase string, cell int64) Member {
	return Member{ID: id, HostPort: "127.0.0.1:1", Phase: phase, Cell: cell}
}

func told(t *testing.T, r *Receivers, whole bool, members ...Member) rules.ListTold {
	t.Helper()
	list, err := r.Told(List{Complete: whole, Members: members})
	if err != nil {
		t.Fatal(err)
	}
	return list
}

func TestReceiverThatComesBackIsTheSameToTheDecisions(t *testing.T) {
	r := NewReceivers(settings.Names{})
	first := told(t, r, true, member("a", "ready", 1), member("b", "ready", 2)).Entries[0].Receiver
	told(t, r, false, member("a", "gone", 1))
	if again := told(t, r, false, member("a", "ready", 1)).Entries[0].Receiver; again != first {
		t.Errorf("number %d, then %d", first, again)
	}
}

func TestReceiversOfTheFirstDestinationHaveNumbersOfTheirOwn(t *testing.T) {
	r := NewReceivers(settings.Names{})
	entries := told(t, r, true, member("a", "ready", 0), member("b", "ready", 0)).Entries
	if entries[0].Receiver == entries[1].Receiver {
		t.Errorf("entries %+v", entries)
	}
}

func TestReceiverOfAnotherDestinationUnderAnOldIDIsAnother(t *testing.T) {
	r := NewReceivers(settings.Names{})
	first := told(t, r, true, member("a", "ready", 1)).Entries[0].Receiver
	moved := told(t, r, false, member("a", "ready", 2)).Entries
	if len(moved) != 2 || moved[0].Receiver != first || moved[0].Standing != rules.Gone || moved[1].Receiver == first {
		t.Errorf("entries %+v", moved)
	}
}

func TestReceiversThatAreGoneDoNotPileUp(t *testing.T) {
	r := NewReceivers(settings.Names{})
	for i := range 4 * retiredMost {
		told(t, r, true, member(fmt.Sprint(i), "ready", 1))
	}
	if len(r.listed) != 1 || len(r.retired) > retiredMost || len(r.retiredOrder) > retiredMost || len(r.Addresses) != 1 {
		t.Errorf("%d listed, %d retired, %d in order, %d addresses", len(r.listed), len(r.retired), len(r.retiredOrder), len(r.Addresses))
	}
}
