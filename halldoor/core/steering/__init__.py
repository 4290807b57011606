"""What operators write: configuration, selectors, shifts, and who may change them."""
