#!/usr/bin/env node
import "../dist/bin/catkinwharf.js";
