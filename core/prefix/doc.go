// Package prefix estimates prompt lengths and hashes growing prefixes of prompts.
package prefix
