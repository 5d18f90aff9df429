"""The `.proto` files and the code generated from them."""
