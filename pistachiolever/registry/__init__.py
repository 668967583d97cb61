"""Control for announced endpoints: whole configurations, kept by agreement."""
