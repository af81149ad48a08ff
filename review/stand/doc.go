// Command stand runs the scripted cases of the review: it starts instances as processes, stand-ins of the platform, of runners and
// of consumers around them, applies the disruption of a case and checks its rule.
package main
