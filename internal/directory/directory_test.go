package directory

import (
	"fmt"
	"testing"

	"chuteweir.example/chuteweir/internal/settings"
	"chuteweir.example/chuteweir/rules"
)

// member returns an entry of a receiver list.
func member(id, phase string, cell int64) Member {
	return Member{ID: id, HostPort: "127.0.0.1:1", Phase: phase, Cell: cell}
}

// applyList applies a list that has to be valid.
func applyList(t *testing.T, receivers *Receivers, complete bool, members ...Member) rules.ListUpdated {
	t.Helper()
	update, err := receivers.Apply(List{Complete: complete, Members: members})
	if err != nil {
		t.Fatal(err)
	}
	return update
}

// A receiver that is listed again after its removal keeps its number.
func TestReceiverThatIsListedAgainKeepsItsNumber(t *testing.T) {
	receivers := NewReceivers(settings.Names{})
	first := applyList(t, receivers, true, member("a", "ready", 1), member("b", "ready", 2)).Entries[0].Receiver
	applyList(t, receivers, false, member("a", "gone", 1))
	if again := applyList(t, receivers, false, member("a", "ready", 1)).Entries[0].Receiver; again != first {
		t.Errorf("the receiver had number %d, and %d after it was listed again", first, again)
	}
}

// Receivers of destination 0 get distinct numbers too, although all other fields of their identities are zero.
func TestReceiversOfTheFirstDestinationHaveNumbersOfTheirOwn(t *testing.T) {
	receivers := NewReceivers(settings.Names{})
	entries := applyList(t, receivers, true, member("a", "ready", 0), member("b", "ready", 0)).Entries
	if entries[0].Receiver == entries[1].Receiver {
		t.Errorf("two receivers have the same number: %+v", entries)
	}
}

// An ID that is listed for another destination is a new receiver, and the old one is removed.
func TestIDListedForAnotherDestinationIsANewReceiver(t *testing.T) {
	receivers := NewReceivers(settings.Names{})
	first := applyList(t, receivers, true, member("a", "ready", 1)).Entries[0].Receiver
	moved := applyList(t, receivers, false, member("a", "ready", 2)).Entries
	if len(moved) != 2 || moved[0].Receiver != first || moved[0].Status != rules.Gone || moved[1].Receiver == first {
		t.Errorf("entries %+v, want the old receiver gone and a new one ready", moved)
	}
}

// The identities of removed receivers are kept only up to maxRetired, however many receivers come and go.
func TestRememberedIdentitiesAreBounded(t *testing.T) {
	receivers := NewReceivers(settings.Names{})
	for i := range 4 * maxRetired {
		applyList(t, receivers, true, member(fmt.Sprint(i), "ready", 1))
	}
	if len(receivers.listed) != 1 || len(receivers.retired) > maxRetired || len(receivers.retiredOrder) > maxRetired ||
		len(receivers.Addresses) != 1 {
		t.Errorf("%d listed, %d retired, %d in retirement order, %d addresses, want 1, <= maxRetired, <= maxRetired, 1",
			len(receivers.listed), len(receivers.retired), len(receivers.retiredOrder), len(receivers.Addresses))
	}
}
