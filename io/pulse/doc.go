// Package pulse tells the other instances by datagrams what this one knows and has in flight, and hears the same of them.
package pulse
