package publisher

type wireService struct {
	ID          string `toml:"id"`
	Kind        string `toml:"kind"`
	Model       string `toml:"model"`
	Adapter     string `toml:"adapter"`
	Version     string `toml:"version"`
	ChecksFence bool   `toml:"checks-fence"`
	Repeatable  bool   `toml:"repeatable"`
}

type wireOrganisation struct {
	ID           string   `toml:"id"`
	Weight       *int     `toml:"weight"`
	TokenDigests []string `toml:"token-digests"`
}

type wireTier struct {
	Deadline      string `toml:"deadline"`
	FirstToken    string `toml:"first-token"`
	BetweenTokens string `toml:"between-tokens"`
}

type wireConfiguration struct {
	Services      []wireService       `toml:"services"`
	Organisations []wireOrganisation  `toml:"organisations"`
	Tiers         map[string]wireTier `toml:"tiers"`
}

type wireBuild struct {
	Model   string `toml:"model"`
	Adapter string `toml:"adapter"`
	Version string `toml:"version"`
}

type wireChange struct {
	Action  string    `toml:"action"`
	Service string    `toml:"service"`
	From    wireBuild `toml:"from"`
	To      wireBuild `toml:"to"`
	After   []string  `toml:"after"`
}

type wireNote struct {
	ID          string       `toml:"id"`
	Deadline    any          `toml:"deadline"`
	CanaryShare float64      `toml:"canary-share"`
	Watch       string       `toml:"watch"`
	Changes     []wireChange `toml:"changes"`
}
