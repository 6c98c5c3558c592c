package gossiper

import "github.com/dotterelpulley/dotterelpulley"

// Message is one side of an exchange.
type Message struct {
	Sender  Member
	Members []Member
	Facts   []Fact
	Heads   map[Stream]Offset
	Records []Record
}

// OutgoingMessage is a message that starts an exchange.
type OutgoingMessage struct {
	Host    dotterelpulley.HostID
	Address dotterelpulley.Address
	Message Message
}

const (
	// CallOverhead is the approximate size of one message's frames, headers and acknowledgements.
	CallOverhead = 130
	// fieldBytes bounds the encoded tag and length of a field, numberBytes an encoded tag and number.
	fieldBytes  = 3
	numberBytes = 11
)

func textBytes(texts ...int) int {
	total := 0
	for _, n := range texts {
		if n > 0 {
			total += fieldBytes + n
		}
	}
	return total
}

func (m Member) bytes() int {
	total := fieldBytes + textBytes(len(m.Host), len(m.Incarnation), len(m.PeerAddress), len(m.CallerAddress), len(m.Zone))
	total += numberBytes
	if m.State != Alive {
		total += textBytes(len(m.State.String()))
	}
	if m.Load != 0 {
		total += 9
	}
	return total
}

func (f Fact) bytes() int {
	return fieldBytes + textBytes(len(f.Kind), len(f.Subject), len(f.Value)) + 2*numberBytes
}

func (r Record) bytes() int {
	return fieldBytes + textBytes(len(r.Stream), len(r.Data)) + 2*numberBytes
}

func headBytes(s Stream) int {
	return fieldBytes + textBytes(len(s)) + numberBytes
}

// Bytes returns an upper bound on the message's encoded size.
func (m Message) Bytes() int {
	total := m.Sender.bytes()
	for _, one := range m.Members {
		total += one.bytes()
	}
	for _, f := range m.Facts {
		total += f.bytes()
	}
	for s := range m.Heads {
		total += headBytes(s)
	}
	for _, r := range m.Records {
		total += r.bytes()
	}
	return total
}
