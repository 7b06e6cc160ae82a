"""Programs: their records, their order, their budget and their end."""
