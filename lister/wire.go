package lister

import "github.com/dotterelpulley/dotterelpulley"

type wireHost struct {
	ID          string `json:"id"`
	Kind        string `json:"kind"`
	Service     string `json:"service"`
	Address     string `json:"address"`
	PeerAddress string `json:"peer-address"`
	Zone        string `json:"zone"`
	Generation  string `json:"generation"`
	State       string `json:"state"`
}

type wireList struct {
	Revision int64      `json:"revision"`
	Hosts    []wireHost `json:"hosts"`
}

func (w wireList) fromWire() List {
	list := List{Revision: w.Revision}
	for _, h := range w.Hosts {
		list.Hosts = append(list.Hosts, h.fromWire())
	}
	return list
}

func (w wireHost) fromWire() Host {
	state := dotterelpulley.EndpointLive
	if w.State == dotterelpulley.EndpointLeaving.String() {
		state = dotterelpulley.EndpointLeaving
	}
	return Host{
		ID:          dotterelpulley.HostID(w.ID),
		Kind:        HostKind(w.Kind),
		Service:     dotterelpulley.ServiceID(w.Service),
		Address:     dotterelpulley.Address(w.Address),
		PeerAddress: dotterelpulley.Address(w.PeerAddress),
		Zone:        dotterelpulley.ZoneID(w.Zone),
		Generation:  dotterelpulley.Generation(w.Generation),
		State:       state,
	}
}
