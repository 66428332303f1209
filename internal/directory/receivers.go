package directory

import (
	"cmp"
	"fmt"
	"slices"

	"chuteweir.example/chuteweir/internal/settings"
	"chuteweir.example/chuteweir/rules"
)

// List is the platform's receiver list, either complete or only the changes since an earlier revision.
type List struct {
	Revision int64    `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []Member `json:"members"`
}

// Member is one receiver in a List.
type Member struct {
	ID       string  `json:"id"`
	HostPort string  `json:"host_port"`
	Locality string  `json:"locality"`
	Flavor   string  `json:"flavor"`
	Cell     int64   `json:"cell"`
	Phase    string  `json:"phase"`
	Size     float64 `json:"size"`
}

// statusByPhase maps the phases of Members to the statuses that the rules use.
var statusByPhase = map[string]rules.ReceiverStatus{"ready": rules.Ready, "draining": rules.Draining,
	"gone": rules.Gone}

// maxRetired is the number of removed receivers whose identities are remembered.
const maxRetired = 1024

// identity holds what never changes about a receiver: its number in the rules, and what the number stands for.
type identity struct {
	number      rules.ReceiverID
	destination rules.DestinationID
	kind        rules.KindID
	zone        rules.ZoneID
}

// Receivers maps the listed receivers to the numbers that the rules use. A number is never reused for another receiver.
// A receiver that is removed and listed again gets its old number, so that what is recorded about it stays valid; only
// the identities of maxRetired removed receivers are remembered for this.
type Receivers struct {
	names             settings.Names
	listed            map[string]identity          // by receiver ID
	retired           map[string]identity          // removed receivers, by receiver ID
	retiredOrder      []string                     // oldest first; may still contain IDs that are listed again
	knownDestinations map[rules.DestinationID]bool // ever listed: notices for them are held while they have no receiver
	removed           []rules.ReceiverID           // not yet returned by TakeRemoved
	lastNumber        rules.ReceiverID
	Addresses         map[rules.ReceiverID]string // of the listed receivers: host and port
	Zones             map[rules.ReceiverID]rules.ZoneID
	ids               map[rules.ReceiverID]string // of the listed and the retired receivers
}

// NewReceivers returns an empty Receivers.
func NewReceivers(names settings.Names) *Receivers {
	return &Receivers{names: names, listed: map[string]identity{}, retired: map[string]identity{},
		knownDestinations: map[rules.DestinationID]bool{},
		Addresses:         map[rules.ReceiverID]string{}, Zones: map[rules.ReceiverID]rules.ZoneID{},
		ids: map[rules.ReceiverID]string{}}
}

// ID returns the ID of a receiver that is listed or was removed lately, otherwise "".
func (r *Receivers) ID(number rules.ReceiverID) string { return r.ids[number] }

// Knows reports whether a destination has ever been listed.
func (r *Receivers) Knows(d rules.DestinationID) bool { return r.knownDestinations[d] }

// TakeRemoved returns the receivers removed from the list since the last call.
func (r *Receivers) TakeRemoved() []rules.ReceiverID {
	removed := r.removed
	r.removed = nil
	return removed
}

// Apply applies a list and returns it in the form that the rules use. Receivers that the list removes are removed from
// Addresses and Zones at once. A list with an invalid entry is not applied.
func (r *Receivers) Apply(list List) (rules.ListUpdated, error) {
	update := rules.ListUpdated{Complete: list.Complete}
	present := map[string]bool{}
	for _, member := range list.Members {
		status, known := statusByPhase[member.Phase]
		if !known || member.ID == "" || member.Cell < 0 || member.Cell > 1<<30 ||
			status != rules.Gone && member.HostPort == "" {
			return update, fmt.Errorf("entry %q is invalid: cell %d, phase %q, address %q",
				member.ID, member.Cell, member.Phase, member.HostPort)
		}
		present[member.ID] = status != rules.Gone
	}
	for id := range r.listed {
		if isPresent, named := present[id]; named && !isPresent || !named && list.Complete {
			r.remove(id, &update)
		}
	}
	slices.SortFunc(update.Entries, func(a, b rules.Entry) int { return cmp.Compare(a.Receiver, b.Receiver) })
	for _, member := range list.Members {
		if !present[member.ID] || statusByPhase[member.Phase] == rules.Gone {
			continue
		}
		known := r.identify(member, &update)
		r.Addresses[known.number], r.Zones[known.number], r.knownDestinations[known.destination] =
			member.HostPort, known.zone, true
		update.Entries = append(update.Entries, rules.Entry{Receiver: known.number, Destination: known.destination,
			Status: statusByPhase[member.Phase], Kind: known.kind, Zone: known.zone, ListedRate: member.Size})
	}
	return update, nil
}

// identify returns the identity of a listed receiver. If the ID now stands for another destination, kind or zone,
// it is another receiver and gets a new number.
func (r *Receivers) identify(member Member, update *rules.ListUpdated) identity {
	current := identity{destination: rules.DestinationID(member.Cell),
		kind: rules.KindID(settings.Index(r.names.Kinds, member.Flavor)),
		zone: rules.ZoneID(settings.Index(r.names.Zones, member.Locality))}
	known, listed := r.listed[member.ID]
	found := listed
	if !listed {
		known, found = r.retired[member.ID]
	}
	if current.number = known.number; !found || current != known {
		if listed {
			r.remove(member.ID, update)
		}
		delete(r.ids, known.number)
		r.lastNumber++
		current.number = r.lastNumber
	}
	r.ids[current.number] = member.ID
	delete(r.retired, member.ID)
	r.listed[member.ID] = current
	return current
}

// remove takes a receiver off the list and adds the removal to update. The identity stays among the retired ones
// until maxRetired later removals.
func (r *Receivers) remove(id string, update *rules.ListUpdated) {
	known := r.listed[id]
	r.removed = append(r.removed, known.number)
	update.Entries = append(update.Entries, rules.Entry{Receiver: known.number, Status: rules.Gone})
	delete(r.listed, id)
	delete(r.Addresses, known.number)
	delete(r.Zones, known.number)
	r.retired[id] = known
	if r.retiredOrder = append(r.retiredOrder, id); len(r.retiredOrder) > maxRetired {
		if oldest, isRetired := r.retired[r.retiredOrder[0]]; isRetired {
			delete(r.ids, oldest.number)
		}
		delete(r.retired, r.retiredOrder[0])
		r.retiredOrder = r.retiredOrder[1:] // append moves the rest to a new array from time to time
	}
}
