package intake

// Class says what depends on a request. While memory is short, those on which others depend go first.
type Class int

// The classes of a [Holder].
const (
	Ordinary   Class = iota
	First            // the first of a chain of requests
	Continuing       // one that continues a chain: if it is refused, the work on that is lost
)

// firstRoom is the part of a budget, as one in so many, that holders of the class [First] leave free,
// and continuingRoom the part that larger ones of the class [Continuing] leave, instead of the reserve. Smaller ones
// leave at most as much, also if their account has much already.
const firstRoom, continuingRoom = 8, 16

// SetClass sets the class, which is [Ordinary] before.
func (h *Holder) SetClass(c Class) {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.class = c
}

// excess returns by how much the memory in use exceeds what there is for h, if h gets n more bytes
// and used are in use. A holder of more than smallBytes must leave the reserve free, and as
// much as others of its account have, so that no account takes the room of all others. For a
// smaller one see smallRoom. Requests that continue others may use a part of the reserve, and the first
// ones leave them some of it.
func (b *Budget) excess(h *Holder, n, used int64) int64 {
	if h.held+n <= smallBytes {
		room := b.smallRoom(h, n)
		switch h.class {
		case First:
			room = max(room, b.limit/firstRoom)
		case Continuing:
			room = min(room, b.limit/continuingRoom)
		}
		return used + n + room - b.limit
	}
	reserve := b.limit / reserveShare
	if h.class == Continuing {
		reserve = b.limit / continuingRoom
	}
	return used + n + b.large[h.account] - h.largeBytes() - (b.limit - reserve)
}
