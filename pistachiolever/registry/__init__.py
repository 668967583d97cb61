"""Control plane for announced endpoints; stores configurations by consensus."""
