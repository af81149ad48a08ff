// Package length predicts how many more tokens a generation will produce.
package length
