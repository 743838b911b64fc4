#include <cstdio>

int main()
{
    std::puts("usage: hemlocklead entry|agent|catalogue|datacentre|job|status|check-config");
    return 2;
}
