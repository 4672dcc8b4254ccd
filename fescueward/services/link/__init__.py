"""Use of the network link of this VM by the bodies that its agent sends."""
