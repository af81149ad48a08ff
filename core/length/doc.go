// Package length estimates how many tokens a generation will still produce.
package length
