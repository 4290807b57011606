"""Administration API, through which operators read and change the configuration."""
