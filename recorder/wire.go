package recorder

import (
	"encoding/json"
	"time"
)

type wireEnvelope struct {
	ID   string          `json:"id"`
	Kind string          `json:"kind"`
	Base int64           `json:"base,omitempty"`
	Body json.RawMessage `json:"body"`
}

type wireService struct {
	ID          string `json:"id"`
	Kind        string `json:"kind"`
	Model       string `json:"model,omitempty"`
	Adapter     string `json:"adapter,omitempty"`
	Version     string `json:"version,omitempty"`
	ChecksFence bool   `json:"checks-fence,omitempty"`
	Repeatable  bool   `json:"repeatable,omitempty"`
}

type wireOrganisation struct {
	ID           string   `json:"id"`
	Weight       int      `json:"weight,omitempty"`
	TokenDigests []string `json:"token-digests,omitempty"`
}

type wireTier struct {
	Tier          string `json:"tier"`
	Deadline      string `json:"deadline"`
	FirstToken    string `json:"first-token"`
	BetweenTokens string `json:"between-tokens"`
}

type wireDelta struct {
	Services            []wireService      `json:"services,omitempty"`
	Organisations       []wireOrganisation `json:"organisations,omitempty"`
	Tiers               []wireTier         `json:"tiers,omitempty"`
	RemoveServices      []string           `json:"remove-services,omitempty"`
	RemoveOrganisations []string           `json:"remove-organisations,omitempty"`
}

type wireBuild struct {
	Model   string `json:"model,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Version string `json:"version,omitempty"`
}

type wireChange struct {
	Action  string    `json:"action"`
	Service string    `json:"service"`
	From    wireBuild `json:"from"`
	To      wireBuild `json:"to"`
	After   []string  `json:"after,omitempty"`
}

type wireNote struct {
	ID          string       `json:"id"`
	Deadline    time.Time    `json:"deadline"`
	CanaryShare float64      `json:"canary-share"`
	Watch       string       `json:"watch"`
	Changes     []wireChange `json:"changes"`
}

type wireAcceptedNote struct {
	Offset   int64     `json:"offset"`
	Appended time.Time `json:"appended-at"`
	Note     wireNote  `json:"note"`
}

type wireConfiguration struct {
	Through       int64              `json:"through"`
	Revision      int64              `json:"revision"`
	Newest        string             `json:"newest"`
	Services      []wireService      `json:"services"`
	Organisations []wireOrganisation `json:"organisations"`
	Tiers         []wireTier         `json:"tiers"`
	Notes         []wireAcceptedNote `json:"notes"`
}

type wireMoveID struct {
	Note    string `json:"note"`
	Service string `json:"service"`
}

type wireClaim struct {
	Holder   string `json:"holder"`
	Duration string `json:"duration"`
	After    int64  `json:"after"`
}

type wireFence struct {
	Fence int64 `json:"fence"`
}

type wireOpening struct {
	wireFence
	wireMoveID
	Action   string    `json:"action"`
	From     wireBuild `json:"from"`
	To       wireBuild `json:"to"`
	Deadline time.Time `json:"deadline"`
	Cap      float64   `json:"cap"`
	Watch    string    `json:"watch"`
}

type wireStep struct {
	wireFence
	wireMoveID
	Number int     `json:"number"`
	Share  float64 `json:"share"`
	Reason string  `json:"reason,omitempty"`
}

type wireOutcome struct {
	wireFence
	wireMoveID
	Outcome string `json:"outcome"`
	Reason  string `json:"reason"`
}

type wireBadVersion struct {
	wireMoveID
	Version string `json:"version"`
	Reason  string `json:"reason"`
	By      string `json:"by"`
}

type wireLease struct {
	wireFence
	Holder   string `json:"holder"`
	Duration string `json:"duration"`
	Newest   int64  `json:"newest"`
	Released bool   `json:"released,omitempty"`
}

type wireMove struct {
	wireMoveID
	Action   string    `json:"action"`
	From     wireBuild `json:"from"`
	To       wireBuild `json:"to"`
	Deadline time.Time `json:"deadline"`
	Cap      float64   `json:"cap"`
	Watch    string    `json:"watch"`
	Phase    string    `json:"phase"`
	Number   int       `json:"number"`
	Share    float64   `json:"share"`
	Since    time.Time `json:"since"`
	Bad      bool      `json:"bad,omitempty"`
	Reason   string    `json:"reason,omitempty"`
	Opened   int64     `json:"opened"`
	Ended    int64     `json:"ended,omitempty"`
}

type wireMoves struct {
	Through int64                `json:"through"`
	Lease   wireLease            `json:"lease"`
	Moves   []wireMove           `json:"moves"`
	InForce map[string]wireBuild `json:"in-force"`
}
