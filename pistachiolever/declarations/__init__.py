"""What operators declare: accounts, services, presets."""
