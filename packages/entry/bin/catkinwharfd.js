#!/usr/bin/env node
import "../dist/bin/catkinwharfd.js";
