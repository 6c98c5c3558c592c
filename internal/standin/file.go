package standin

import (
	"fmt"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/decoder"
	"github.com/dotterelpulley/dotterelpulley/internal/standin/proxy"
)

// wireFile is the TOML encoding of a set of stand-ins.
type wireFile struct {
	Control  string          `toml:"control"`
	Log      *wireFileLog    `toml:"log"`
	HostList *wireFileHosts  `toml:"host-list"`
	Weights  *wireFileStore  `toml:"weight-store"`
	Versions []wireBehaviour `toml:"versions"`
	Engines  []wireEngine    `toml:"engines"`
	Plain    []wirePlain     `toml:"plain"`
	Proxies  []wireProxy     `toml:"proxies"`
}

type wireFileLog struct {
	Address    string       `toml:"address"`
	Retention  wireDuration `toml:"retention"`
	MaxRecords int          `toml:"max-records"`
	Delay      wireDuration `toml:"delay"`
}

type wireFileHosts struct {
	Address string       `toml:"address"`
	Lag     wireDuration `toml:"lag"`
	Hosts   []wireHost   `toml:"hosts"`
}

type wireFileStore struct {
	Address   string       `toml:"address"`
	Rate      float64      `toml:"rate"`
	Burst     int          `toml:"burst"`
	FetchTime wireDuration `toml:"fetch-time"`
	Versions  []string     `toml:"versions"`
}

type wireEngine struct {
	ID            string       `toml:"id"`
	Service       string       `toml:"service"`
	Zone          string       `toml:"zone"`
	Generation    string       `toml:"generation"`
	Address       string       `toml:"address"`
	ListedAddress string       `toml:"listed-address"`
	Versions      []string     `toml:"versions"`
	Speed         float64      `toml:"speed"`
	Step          wireDuration `toml:"step"`
	Budget        int          `toml:"token-budget"`
	Slots         int          `toml:"slots"`
	CacheBytes    int          `toml:"cache-bytes"`
	Grace         wireDuration `toml:"grace"`
	ReportLag     wireDuration `toml:"report-lag"`
	LateHead      bool         `toml:"late-head"`
	EventLag      wireDuration `toml:"event-lag"`
	EventGap      int          `toml:"event-gap"`
	ChecksFence   bool         `toml:"checks-fence"`
	LoadTime      wireDuration `toml:"load-time"`
	CrashOn       string       `toml:"crash-on"`
	CrashReturn   wireDuration `toml:"crash-return"`
}

type wirePlain struct {
	ID            string       `toml:"id"`
	Service       string       `toml:"service"`
	Zone          string       `toml:"zone"`
	Address       string       `toml:"address"`
	ListedAddress string       `toml:"listed-address"`
	CallTime      wireDuration `toml:"call-time"`
	Slots         int          `toml:"slots"`
	CrashOn       string       `toml:"crash-on"`
	CrashReturn   wireDuration `toml:"crash-return"`
}

type wireProxy struct {
	ID      string `toml:"id"`
	Address string `toml:"address"`
	Target  string `toml:"target"`
}

// ReadFile reads a set of stand-ins from a TOML file.
func ReadFile(path string) (*Set, error) {
	var w wireFile
	if err := decoder.DecodeFile(path, &w); err != nil {
		return nil, err
	}
	set, err := w.fromWire()
	if err != nil {
		return nil, fmt.Errorf("stand-ins of %q: %w", path, err)
	}
	return set, nil
}

func (w wireFile) fromWire() (*Set, error) {
	set := &Set{Control: dotterelpulley.Address(w.Control)}
	behaviours := map[string]Behaviour{}
	for _, v := range w.Versions {
		b, err := v.fromWire()
		if err != nil {
			return nil, err
		}
		behaviours[v.Version] = b
	}
	w.addPlatform(set)
	for _, e := range w.Engines {
		set.Engines = append(set.Engines, e.fromWire(behaviours))
	}
	for _, p := range w.Plain {
		set.Plain = append(set.Plain, p.fromWire())
	}
	for _, p := range w.Proxies {
		set.Proxies = append(set.Proxies, ProxyInstance{
			ID:      p.ID,
			Address: dotterelpulley.Address(p.Address),
			Standin: &proxy.Proxy{Target: dotterelpulley.Address(p.Target)},
		})
	}
	return set, nil
}

func (w wireFile) addPlatform(set *Set) {
	if w.Log != nil {
		set.Log = &Instance[*Log]{
			Standin: &Log{Retention: time.Duration(w.Log.Retention), MaxRecords: w.Log.MaxRecords},
			Address: dotterelpulley.Address(w.Log.Address),
		}
		set.Log.Standin.Delay(time.Duration(w.Log.Delay))
	}
	if w.HostList != nil {
		set.Hosts = &Instance[*Hosts]{
			Standin: &Hosts{Lag: time.Duration(w.HostList.Lag)},
			Address: dotterelpulley.Address(w.HostList.Address),
		}
		for _, h := range w.HostList.Hosts {
			set.Hosts.Standin.Set(h.fromWire())
		}
	}
	if w.Weights != nil {
		set.Weights = &Instance[*Weights]{
			Standin: &Weights{
				Rate:      w.Weights.Rate,
				Burst:     w.Weights.Burst,
				FetchTime: time.Duration(w.Weights.FetchTime),
				Versions:  w.Weights.Versions,
			},
			Address: dotterelpulley.Address(w.Weights.Address),
		}
	}
}

func (w wireEngine) fromWire(behaviours map[string]Behaviour) Instance[*Engine] {
	e := &Engine{
		ID:          dotterelpulley.EndpointID(w.ID),
		Service:     dotterelpulley.ServiceID(w.Service),
		Zone:        dotterelpulley.ZoneID(w.Zone),
		Generation:  dotterelpulley.Generation(w.Generation),
		Versions:    w.Versions,
		Speed:       w.Speed,
		Step:        time.Duration(w.Step),
		Budget:      w.Budget,
		Slots:       w.Slots,
		CacheBytes:  w.CacheBytes,
		Grace:       time.Duration(w.Grace),
		ReportLag:   time.Duration(w.ReportLag),
		LateHead:    w.LateHead,
		EventLag:    time.Duration(w.EventLag),
		EventGap:    w.EventGap,
		ChecksFence: w.ChecksFence,
		LoadTime:    time.Duration(w.LoadTime),
		Behaviours:  map[string]Behaviour{},
	}
	for v, b := range behaviours {
		e.Behaviours[v] = b
	}
	e.CrashOn(w.CrashOn, time.Duration(w.CrashReturn))
	return Instance[*Engine]{
		Standin:       e,
		Address:       dotterelpulley.Address(w.Address),
		ListedAddress: dotterelpulley.Address(w.ListedAddress),
	}
}

func (w wirePlain) fromWire() Instance[*Plain] {
	p := &Plain{
		ID:       dotterelpulley.EndpointID(w.ID),
		Service:  dotterelpulley.ServiceID(w.Service),
		Zone:     dotterelpulley.ZoneID(w.Zone),
		CallTime: time.Duration(w.CallTime),
		Slots:    w.Slots,
	}
	p.CrashOn(w.CrashOn, time.Duration(w.CrashReturn))
	return Instance[*Plain]{
		Standin:       p,
		Address:       dotterelpulley.Address(w.Address),
		ListedAddress: dotterelpulley.Address(w.ListedAddress),
	}
}
