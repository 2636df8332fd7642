package mesher

import (
	stderrors "errors"
	"fmt"
	"net/netip"
	"os"
	"strconv"
	"time"

	"apricotrudder.dev/apricotd/decoder"
)

const (
	// defaultHeartbeat applies if the settings have no store.heartbeat.
	defaultHeartbeat = decoder.Duration(1500 * time.Millisecond)
	// defaultAddressReuse applies if the settings have no backend.addressReuse.
	defaultAddressReuse = decoder.Duration(2 * time.Second)
	// defaultSettingsLag applies if the settings have no backend.settingsLag.
	defaultSettingsLag = decoder.Duration(1800 * time.Millisecond)

	// Values of balancing.byExpectedWork and of the settings in overload.
	whereStated     = "stated"
	whereConfigured = "configured"
	always          = "always"
	never           = "never"
)

// defaultOverload applies if the settings have no overload.
var defaultOverload = Overload{CallRanks: whereConfigured, SharedPools: whereConfigured, Postponement: whereConfigured, RateReturns: whereConfigured}

type (
	// Settings is the content of the settings file.
	Settings struct {
		VM         string    `toml:"vm"`
		Region     string    `toml:"region"`
		DataCentre string    `toml:"dataCentre"`
		Pool       string    `toml:"pool"`
		Listen     Listen    `toml:"listen"`
		Backend    Backend   `toml:"backend"`
		Store      Store     `toml:"store"`
		Limits     Limits    `toml:"limits"`
		Rates      Rates     `toml:"rates"`
		Retries    Retries   `toml:"retries"`
		Balancing  Balancing `toml:"balancing"`
		Overload   Overload  `toml:"overload"`
		Log        Log       `toml:"log"`
		// DataCentres gives the region of each data centre.
		DataCentres map[string]string `toml:"dataCentres"`
	}

	// Listen holds the addresses on which the node serves.
	Listen struct {
		// Callers accepts requests of callers and of the local backend server.
		Callers netip.AddrPort `toml:"callers"`
		// Health serves the platform's health checks of this node.
		Health netip.AddrPort `toml:"health"`
		// Links accepts the links of other nodes; every node uses the same port.
		Links netip.AddrPort `toml:"links"`
		// Operators serves metrics.
		Operators netip.AddrPort `toml:"operators"`
	}

	// Backend describes the local backend server.
	Backend struct {
		Address netip.AddrPort `toml:"address"`
		// AddressReuse is the least time between the end of a backend server and the
		// start of one of another pool at its address; the default is 2 s.
		AddressReuse decoder.Duration `toml:"addressReuse"`
		// SettingsLag is how long after the start of a backend server the settings file
		// may still name the pool of the one before it at the address; the default is 1.8 s.
		SettingsLag decoder.Duration `toml:"settingsLag"`
		// ColdOvershoot is the factor by which the requests that a cold backend server
		// gets in a second may exceed those that it tolerates; the default is 1.
		ColdOvershoot float64 `toml:"coldOvershoot"`
		// ColdSlack is a number of requests in a second permitted in addition.
		ColdSlack float64 `toml:"coldSlack"`
	}

	// Store describes the platform's metadata store.
	Store struct {
		Address netip.AddrPort `toml:"address"`
		// Heartbeat is how often backend servers renew their entries; the default is
		// 1.5 s.
		Heartbeat decoder.Duration `toml:"heartbeat"`
	}

	// Limits bounds the memory of the process and the time that it takes to stop.
	Limits struct {
		// MemoryMB is the memory use above which the VM kills the process.
		MemoryMB int `toml:"memoryMB"`
		// StopWithin is the time after which a stopping process is killed.
		StopWithin decoder.Duration `toml:"stopWithin"`
	}

	// Rates says by how much the fleet may exceed an organisation's rate limit.
	Rates struct {
		// Overshoot is the permitted excess as a fraction of the requests that the
		// rate limit allows.
		Overshoot float64 `toml:"overshoot"`
		// Slack is a number of requests permitted in addition to Overshoot.
		Slack float64 `toml:"slack"`
		// Window is the time over which requests are counted.
		Window decoder.Duration `toml:"window"`
	}

	// Retries is the fleet's retry budget for each pool.
	Retries struct {
		Window decoder.Duration `toml:"window"`
		// Ratio is the number of retries permitted per request of a caller.
		Ratio float64 `toml:"ratio"`
		// Allowance is the number of retries permitted per window in addition.
		Allowance float64 `toml:"allowance"`
	}

	// Balancing determines how backend servers are selected.
	Balancing struct {
		// ByExpectedWork says for which pools the server is selected at which a request is
		// expected to be completed first: "stated", the default, for those whose servers
		// state how long work takes there at present, "always" or "never". All nodes should
		// have the same value.
		ByExpectedWork string `toml:"byExpectedWork"`
	}

	// Overload switches decisions that are made while backend servers are short of room:
	// "configured", the default, where the tables call for it, or "never".
	Overload struct {
		// CallRanks gives calls of the own backend server the rank of their call tree
		// if routes have different ranks. Otherwise they precede all requests of callers.
		CallRanks string `toml:"callRanks"`
		// SharedPools counts requests towards all pools that recent reports on their
		// route name, so that the least urgent of all that share a pool are throttled
		// first. Otherwise only the newest report counts.
		SharedPools string `toml:"sharedPools"`
		// Postponement refuses first attempts that would probably be lost to rejected
		// calls, on routes with a latency target.
		Postponement string `toml:"postponement"`
		// RateReturns tells callers who are refused for their organisation's rate to
		// return in time for the latency target of their route, if it has one. Otherwise
		// they return when a token is likely.
		RateReturns string `toml:"rateReturns"`
	}

	// Log sets the log level: "debug", "info", "warning" or "error".
	Log struct {
		Level string `toml:"level"`
	}
)

// Load reads and checks a settings file.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	return Parse(path, data)
}

// Parse decodes and checks the content of a settings file; document names it in
// errors.
func Parse(document string, data []byte) (*Settings, error) {
	s := &Settings{Log: Log{Level: "info"}, Store: Store{Heartbeat: defaultHeartbeat}, Backend: Backend{AddressReuse: defaultAddressReuse, SettingsLag: defaultSettingsLag}, Balancing: Balancing{ByExpectedWork: whereStated}, Overload: defaultOverload}
	if err := decoder.Decode(document, data, s); err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	if err := s.check(document); err != nil {
		return nil, fmt.Errorf("check settings: %w", err)
	}
	return s, nil
}

func (s *Settings) check(document string) error {
	var errs []error
	addError := func(key, got, want string) {
		errs = append(errs, &decoder.Error{Document: document, Key: key, Got: got, Want: want})
	}
	for _, f := range []struct{ key, value string }{
		{"vm", s.VM}, {"region", s.Region}, {"dataCentre", s.DataCentre}, {"pool", s.Pool},
	} {
		if f.value == "" {
			addError(f.key, "nothing", "a name")
		}
	}
	for _, f := range []struct {
		key   string
		value netip.AddrPort
	}{
		{"listen.callers", s.Listen.Callers}, {"listen.health", s.Listen.Health},
		{"listen.links", s.Listen.Links}, {"listen.operators", s.Listen.Operators},
		{"backend.address", s.Backend.Address}, {"store.address", s.Store.Address},
	} {
		if !f.value.IsValid() {
			addError(f.key, "nothing", `an IP address and port such as "10.0.0.1:7000"`)
		}
	}
	for _, f := range []struct {
		key   string
		value float64
	}{
		{"rates.overshoot", s.Rates.Overshoot}, {"rates.slack", s.Rates.Slack},
		{"retries.ratio", s.Retries.Ratio}, {"retries.allowance", s.Retries.Allowance},
		{"limits.memoryMB", float64(s.Limits.MemoryMB)},
		{"backend.coldOvershoot", s.Backend.ColdOvershoot}, {"backend.coldSlack", s.Backend.ColdSlack},
	} {
		if f.value < 0 {
			addError(f.key, fmt.Sprint(f.value), "0 or more")
		}
	}
	if b := s.Balancing.ByExpectedWork; b != whereStated && b != always && b != never {
		addError("balancing.byExpectedWork", strconv.Quote(b), `"stated", "always" or "never"`)
	}
	for _, f := range []struct{ key, value string }{
		{"overload.callRanks", s.Overload.CallRanks},
		{"overload.sharedPools", s.Overload.SharedPools},
		{"overload.postponement", s.Overload.Postponement},
		{"overload.rateReturns", s.Overload.RateReturns},
	} {
		if f.value != whereConfigured && f.value != never {
			addError(f.key, strconv.Quote(f.value), `"configured" or "never"`)
		}
	}
	for _, f := range []struct {
		key   string
		value decoder.Duration
	}{
		{"store.heartbeat", s.Store.Heartbeat}, {"limits.stopWithin", s.Limits.StopWithin}, {"retries.window", s.Retries.Window}, {"rates.window", s.Rates.Window},
	} {
		if f.value <= 0 {
			addError(f.key, time.Duration(f.value).String(), "a duration above 0s")
		}
	}
	for _, f := range []struct {
		key   string
		value decoder.Duration
	}{
		{"backend.addressReuse", s.Backend.AddressReuse}, {"backend.settingsLag", s.Backend.SettingsLag},
	} {
		if f.value < 0 {
			addError(f.key, time.Duration(f.value).String(), "a duration of at least 0s")
		}
	}
	return stderrors.Join(errs...)
}
