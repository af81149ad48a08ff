// Package objs is a stand-in of the platform: its object API and its instance list.
package objs
