package main

// site holds what a deployment's sheet says of its instances and engines.
type site struct {
	zones          []string
	memoryMB       int
	maxDescriptors int
	retrySlack     float64
	kvCapacity     int // tokens
	kvTokenBytes   int
	linkMbps       float64
	eventBytes     int
	draftTokens    string // prompt and maximum output
	draftHint      string // estimate of the output
}

var (
	kvRouter = site{
		zones: []string{"ee-north-a", "ee-north-b", "ee-north-c"}, memoryMB: 120, maxDescriptors: 2870, retrySlack: 113,
		kvCapacity: 34326, kvTokenBytes: 96256, linkMbps: 14000, eventBytes: 260, draftTokens: "3000,2204", draftHint: "1200",
	}
	geefhuis = site{
		zones: []string{"nl-west-a", "nl-west-b", "nl-west-c"}, memoryMB: 536, maxDescriptors: 8192, retrySlack: 256,
		kvCapacity: 26804, kvTokenBytes: 163840, linkMbps: 24000, eventBytes: 400, draftTokens: "3000,1768", draftHint: "900",
	}
)

// draftHeaders are the headers of a request for a draft.
func (s site) draftHeaders() map[string]string {
	return map[string]string{
		"Snipeshed-Model": "m", "Snipeshed-Token-Count": s.draftTokens, "Snipeshed-Length-Hint": s.draftHint,
		"Snipeshed-Prompt-Prefix": "5c1e07a2:48,91bd3f06:31",
	}
}
