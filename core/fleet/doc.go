// Package fleet keeps what an instance believes of the endpoints: which exist, which are leaving and since when.
package fleet
