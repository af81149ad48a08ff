// Package prefix estimates the length of prompts in tokens and hashes their prefixes, block by block.
package prefix
